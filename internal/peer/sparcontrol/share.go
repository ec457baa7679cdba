package sparcontrol

import (
	"github.com/juju/errors"
	"github.com/klauspost/compress/s2"
	"google.golang.org/protobuf/proto"

	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
)

// maxShare is the largest share in bytes, uncompressed: several times the settings of a
// large fleet, yet small enough for the memory of a small VM.
const maxShare = 16 << 20

// EncodeShare encodes and compresses a delta or full copy of a registry. The entries of
// a fleet are alike, so they compress to a fraction of their size.
func EncodeShare(s sparregistry.Delta) []byte {
	return s2.Encode(nil, marshal(&Share{
		After: s.After, Entries: convert(s.Entries, fromEntry), Base: s.Base, Revision: s.Revision, Synced: s.Synced,
	}))
}

// DecodeShare decodes the output of EncodeShare. It returns an error if the bytes are
// damaged or decompress to more than maxShare.
func DecodeShare(b []byte) (s sparregistry.Delta, err error) {
	defer func() {
		if err != nil {
			err = errors.Annotate(err, "share")
		}
	}()
	size, err := s2.DecodedLen(b)
	if err != nil {
		return sparregistry.Delta{}, err
	}
	if size > maxShare {
		return sparregistry.Delta{}, errors.Errorf("%d bytes, expected at most %d", size, maxShare)
	}
	plain, err := s2.Decode(nil, b)
	if err != nil {
		return sparregistry.Delta{}, err
	}
	var m Share
	if err := proto.Unmarshal(plain, &m); err != nil {
		return sparregistry.Delta{}, err
	}
	return sparregistry.Delta{
		After: m.After, Entries: convert(m.Entries, toEntry), Base: m.Base, Revision: m.Revision, Synced: m.Synced,
	}, nil
}

func fromEntry(e sparregistry.Entry) *Entry {
	return &Entry{Key: e.Key, Value: e.Value, Revision: e.Revision, Deleted: e.Deleted}
}

func toEntry(e *Entry) sparregistry.Entry {
	return sparregistry.Entry{Key: e.Key, Value: e.Value, Revision: e.Revision, Deleted: e.Deleted}
}
