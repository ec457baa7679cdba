package sparserver

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/oleanderspar/oleanderspar/internal/peer/sparcontrol"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
	"github.com/oleanderspar/oleanderspar/internal/thread/sparring"
	"github.com/oleanderspar/oleanderspar/internal/vm/sparnode"
	"github.com/oleanderspar/oleanderspar/internal/wire/spartransfer"
)

const (
	// retryMin and retryMax bound the wait after a failed read of the platform, which doubles with
	// each failure.
	retryMin = 250 * time.Millisecond
	retryMax = 2 * time.Second
	// idleCheck is how often a VM that does not read the platform checks whether it is to do so.
	idleCheck = 200 * time.Millisecond
	// pullTimeout is how long a pull may make no progress.
	pullTimeout = 1500 * time.Millisecond
)

// watchPlatform reads the platform while this VM is one of the two that do so for their
// failure domain. A watch without a response before its deadline ends with an error, and
// a new one is started.
func (s *Server) watchPlatform(ctx context.Context) error {
	watching := true
	after := uint64(0)
	retry := retryMin
	for ctx.Err() == nil {
		select {
		case watching = <-s.watch:
		default:
		}
		if !watching {
			after = 0
			sparring.Pause(ctx, idleCheck)
			continue
		}
		listing, err := s.store.List(ctx, "", after)
		s.metrics.platformCalls.Store(s.store.Calls())
		if ctx.Err() != nil {
			return nil
		}
		s.inputs.Put(platformInput{listing: listing, err: err})
		if err != nil {
			s.log.WithError(err).Debug("reading the platform failed")
			after = 0
			s.pullFromSeeds()
			sparring.Pause(ctx, retry)
			retry = min(2*retry, retryMax)
			continue
		}
		retry = retryMin
		after = listing.Revision
	}
	return nil
}

// pullFromSeeds requests the settings from other VMs while the platform is unreachable.
func (s *Server) pullFromSeeds() {
	for _, seed := range s.file.Seeds {
		if seed != s.file.Control {
			s.pulls.Put(sparnode.Pull{From: sparconfig.VM{Control: seed}})
		}
	}
}

// pullSettings pulls settings from other VMs.
func (s *Server) pullSettings(ctx context.Context) error {
	for {
		select {
		case pull := <-s.pulls.Out():
			delta, err := s.pull(ctx, pull)
			if err != nil {
				s.log.WithError(err).Debug("pulling settings failed")
				continue
			}
			s.inputs.Put(pullInput{delta: delta})
		case <-ctx.Done():
			return nil
		}
	}
}

// writePlatform deletes unused claims in the platform and raises its era.
func (s *Server) writePlatform(ctx context.Context) error {
	for {
		select {
		case out := <-s.claims.Out():
			if _, err := s.store.Delete(ctx, out.Key, out.Revision); err != nil {
				s.log.WithError(err).Debug("releasing a claim failed") // retried later
			}
		case out := <-s.eras.Out():
			raised, err := s.store.Swap(ctx, sparconfig.EraKey, sparconfig.EraText(out.Era), out.Revision)
			s.log.WithFields(logrus.Fields{"era": out.Era, "raised": raised, "error": err}).Warn("platform was restored from an older copy")
		case <-ctx.Done():
			return nil
		}
	}
}

func (s *Server) pull(ctx context.Context, pull sparnode.Pull) (delta sparregistry.Delta, err error) {
	defer func() {
		if err != nil {
			err = errors.Annotatef(err, "pull from %s", pull.From.Control)
		}
	}()
	caller := spartransfer.Caller{Client: s.metrics.countBytes(http.DefaultTransport), Stall: pullTimeout}
	peer := sparcontrol.Dial(pull.From.Control, caller)
	reply, err := peer.Pull(ctx, &sparcontrol.PullRequest{After: pull.After.Revision, Era: pull.After.Era})
	if err != nil {
		return sparregistry.Delta{}, err
	}
	return sparcontrol.DecodeDelta(reply.Share)
}
