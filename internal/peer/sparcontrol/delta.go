package sparcontrol

import (
	"github.com/juju/errors"
	"github.com/klauspost/compress/s2"
	"google.golang.org/protobuf/proto"

	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
)

// maxDelta is the largest delta in bytes, uncompressed: several times the settings of a
// large fleet, yet small enough for the memory of a small VM.
const maxDelta = 16 << 20

// EncodeDelta encodes and compresses a delta or full copy of a registry. The entries of
// a fleet are alike, so they compress to a fraction of their size.
func EncodeDelta(d sparregistry.Delta) []byte {
	return s2.Encode(nil, marshal(&Share{
		After: d.After.Revision, Entries: convert(d.Entries, fromEntry), Base: d.Base,
		Revision: d.At.Revision, Era: d.At.Era, Synced: d.Synced,
	}))
}

// DecodeDelta decodes the output of EncodeDelta. It returns an error if the bytes are
// damaged or decompress to more than maxDelta.
func DecodeDelta(b []byte) (d sparregistry.Delta, err error) {
	defer func() {
		if err != nil {
			err = errors.Annotate(err, "share")
		}
	}()
	size, err := s2.DecodedLen(b)
	if err != nil {
		return sparregistry.Delta{}, err
	}
	if size > maxDelta {
		return sparregistry.Delta{}, errors.Errorf("%d bytes, expected at most %d", size, maxDelta)
	}
	plain, err := s2.Decode(nil, b)
	if err != nil {
		return sparregistry.Delta{}, err
	}
	var m Share
	if err := proto.Unmarshal(plain, &m); err != nil {
		return sparregistry.Delta{}, err
	}
	d = sparregistry.Delta{
		Entries: convert(m.Entries, toEntry), Base: m.Base,
		At: sparregistry.Position{Era: m.Era, Revision: m.Revision}, Synced: m.Synced,
	}
	if m.After > 0 {
		d.After = sparregistry.Position{Era: m.Era, Revision: m.After}
	}
	return d, nil
}

func fromEntry(e sparregistry.Entry) *Entry {
	return &Entry{
		Key: e.Key, Value: e.Value, Era: e.Era, Revision: e.Revision, Deleted: e.Deleted,
		Start: e.Stamp.Start, Count: e.Stamp.Count,
	}
}

func toEntry(e *Entry) sparregistry.Entry {
	return sparregistry.Entry{
		Key: e.Key, Value: e.Value, Era: e.Era, Revision: e.Revision, Deleted: e.Deleted,
		Stamp: sparregistry.Stamp{Start: e.Start, Count: e.Count},
	}
}
