package sparcontrol

import (
	"github.com/juju/errors"
	"github.com/klauspost/compress/s2"
	"google.golang.org/protobuf/proto"

	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
)

// maxShare bounds a share in bytes before it is compressed: several times the settings of
// a large fleet, and little enough for the memory of a small VM.
const maxShare = 16 << 20

// EncodeShare returns what a VM shares of its settings, compressed. The entries of a
// fleet look alike, so that this is a fraction of them.
func EncodeShare(s sparregistry.Share) []byte {
	return s2.Encode(nil, marshal(&Share{
		After: s.After, Entries: convert(s.Entries, fromEntry), Base: s.Base, Revision: s.Revision, Synced: s.Synced,
	}))
}

// DecodeShare reads what EncodeShare returns. Its errors tell damaged bytes, and more of
// them than a VM takes.
func DecodeShare(b []byte) (s sparregistry.Share, err error) {
	defer func() {
		if err != nil {
			err = errors.Annotate(err, "share")
		}
	}()
	size, err := s2.DecodedLen(b)
	if err != nil {
		return sparregistry.Share{}, err
	}
	if size > maxShare {
		return sparregistry.Share{}, errors.Errorf("%d bytes, expected at most %d", size, maxShare)
	}
	plain, err := s2.Decode(nil, b)
	if err != nil {
		return sparregistry.Share{}, err
	}
	var m Share
	if err := proto.Unmarshal(plain, &m); err != nil {
		return sparregistry.Share{}, err
	}
	return sparregistry.Share{
		After: m.After, Entries: convert(m.Entries, toEntry), Base: m.Base, Revision: m.Revision, Synced: m.Synced,
	}, nil
}

func fromEntry(e sparregistry.Entry) *Entry {
	return &Entry{Key: e.Key, Value: e.Value, Revision: e.Revision, Deleted: e.Deleted}
}

func toEntry(e *Entry) sparregistry.Entry {
	return sparregistry.Entry{Key: e.Key, Value: e.Value, Revision: e.Revision, Deleted: e.Deleted}
}
