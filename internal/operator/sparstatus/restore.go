package sparstatus

import (
	"fmt"

	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
)

// present reports whether an era is that of the platform. VMs that name none are taken to be
// in it: their platform names none, or they run an older version.
func (d deriver) present(era uint64) bool { return era == d.era || era == 0 }

// position returns the position of a revision for comparison.
func (d deriver) position(era, revision uint64) sparregistry.Position {
	if d.present(era) {
		era = d.era
	}
	return sparregistry.Position{Era: era, Revision: revision}
}

// restore returns a fact while VMs have not settled on a platform that was restored from an older
// copy: they are in an earlier era, or keep entries that the platform may have lost.
func (d deriver) restore() []Fact {
	settled := 0
	for _, a := range d.survey.Answered {
		if d.present(a.Era) && !a.Restoring {
			settled++
		}
	}
	if settled == len(d.survey.Answered) {
		return nil
	}
	text := fmt.Sprintf("platform restored from an older copy, %d of %d VMs have settled on it", settled, len(d.survey.Answered))
	return []Fact{{Word: Hold, Text: text}}
}
