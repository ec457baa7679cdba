package sparconfig

import (
	"regexp"
	"strings"

	"github.com/juju/errors"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
)

const (
	// TeamPrefix is the prefix of the platform keys of service documents.
	TeamPrefix = "team/"
	// ClaimPrefix is the prefix of the platform keys of claims on addresses.
	ClaimPrefix = "claim/"

	servicesPart = "services"
	vmPrefix     = "vm/"
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// ServiceKey returns the platform key of a service document.
func ServiceKey(team, service string) string {
	return TeamPrefix + team + "/" + servicesPart + "/" + service
}

// ServiceName returns the "team/service" of the platform key of a service document.
func ServiceName(key string) (name string, ok bool) {
	parts := strings.Split(key, "/")
	if len(parts) != 4 || parts[0]+"/" != TeamPrefix || parts[2] != servicesPart {
		return "", false
	}
	if CheckName(parts[1]) != nil || CheckName(parts[3]) != nil {
		return "", false
	}
	return parts[1] + "/" + parts[3], true
}

// ClaimKey returns the platform key of the claim on an address.
func ClaimKey(proto sparflow.Proto, at sparflow.Endpoint) string {
	return ClaimPrefix + proto.String() + "/" + at.String()
}

// CheckName returns an error unless name is valid for a team, service, VM or failure
// domain.
func CheckName(name string) error {
	if !namePattern.MatchString(name) {
		return errors.Errorf("name %q: expected 1 to 63 of a-z, 0-9 and -, not beginning with -", name)
	}
	return nil
}

// VMKey returns the platform key of a VM.
func VMKey(name string) string { return vmPrefix + name }
