package sparconfig

import (
	"strconv"

	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
)

// EraKey is the platform key of the era: a number that a VM raises when it finds that the platform
// has gone back, since the platform itself counts no restores. Whatever is read together with
// a higher era was read later.
const EraKey = "era"

// Era returns the era that a full read of the platform names, 0 if it names none, and the entry
// that names it.
func Era(entries []sparregistry.Entry) (era uint64, named sparregistry.Entry) {
	for _, e := range entries {
		if e.Key != EraKey {
			continue
		}
		era, err := strconv.ParseUint(string(e.Value), 10, 64)
		if err != nil {
			return 0, e // not written by a VM; the next one to raise it replaces it
		}
		return era, e
	}
	return 0, sparregistry.Entry{Key: EraKey}
}

// EraText returns the value of EraKey for an era.
func EraText(era uint64) []byte { return strconv.AppendUint(nil, era, 10) }
