package gateway

import (
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/carawayreel/carawayreel/internal/fanout"
	"github.com/carawayreel/carawayreel/internal/organisation"
)

const (
	// confirmationLimit is the age of a configuration up to which it counts as in force: the
	// time within which a change must be in force everywhere (config_apply_ms of the users'
	// platform). Beyond it, the operators may have added a key that this VM does not know.
	confirmationLimit = 5 * time.Second
	// unconfirmedRetryAfter is the retry delay told to callers of a VM whose configuration is
	// not confirmed. The caller is meant to try another VM; an outage of the store takes
	// seconds.
	unconfirmedRetryAfter = time.Second
)

// unknownOrganisation stands in log lines for an organisation that is not known.
const unknownOrganisation = "unknown"

// requiresKeys reports whether organisations are declared, so that requests need keys.
func (c *call) requiresKeys() bool { return !c.compiled.table.Organisations.Empty() }

// identify returns the organisation of the caller by the table of the call; nil if there is none.
// A request that another VM delegates or has relayed was authenticated there and states the name
// of the organisation instead of the key.
func (c *call) identify() *organisation.Organisation {
	directory, dialect := c.compiled.table.Organisations, c.gateway.options.Dialect
	if directory.Empty() {
		return nil
	}
	if !c.delegated {
		return directory.ByKey(dialect.Key(c.http.Header))
	}
	name := dialect.Organisation(c.http.Header)
	if known := directory.ByName(name); known != nil || name == "" {
		return known
	}
	// The delegating VM has another revision of the routes. No limits are known here.
	return &organisation.Organisation{Name: name}
}

// authenticate identifies the caller by the table of the call. It reports false if the route
// needs a key and the request carries no valid one; the caller has then been answered.
func (c *call) authenticate() bool {
	found := c.identify()
	if found != nil || c.delegated || c.route.Public || !c.requiresKeys() {
		c.organisation = found
		return true
	}
	switch {
	case c.organisation != nil:
		c.gateway.counters.keysRevoked.Inc()
		c.refuseIfConfirmed(http.StatusUnauthorized, "the key was withdrawn while the body arrived")
	case c.gateway.options.Dialect.Key(c.http.Header) == "":
		c.gateway.counters.keysAbsent.Inc()
		c.refuseIfConfirmed(http.StatusUnauthorized, "the request has no key")
	default:
		c.gateway.counters.keysUnknown.Inc()
		c.refuseIfConfirmed(http.StatusUnauthorized, "no organisation holds the key")
	}
	return false
}

// stateOrganisation replaces the key in the request to targets and other VMs by the name of the
// organisation.
func (c *call) stateOrganisation() {
	if !c.requiresKeys() {
		return
	}
	name := ""
	if c.organisation != nil {
		name = c.organisation.Name
	}
	c.gateway.options.Dialect.SetOrganisation(c.request.Header, name)
}

// priority returns the priority of the request; zero is the highest.
func (c *call) priority() uint32 { return c.organisation.PriorityOr(c.route.Priority) }

// refuseIfConfirmed refuses a request that the configuration does not allow. While organisations
// are declared and the configuration has not been confirmed for confirmationLimit, a newer one
// may allow the request: the caller is then told to try again.
func (c *call) refuseIfConfirmed(status int, cause string) {
	confirmed := c.compiled.view.ConfirmedAt
	if c.requiresKeys() && (confirmed.IsZero() || time.Since(confirmed) > confirmationLimit) {
		c.gateway.counters.refusalsUnconfirmed.Inc()
		c.notRun(cause+", and the configuration is not confirmed", unconfirmedRetryAfter)
		return
	}
	c.refuse(status, cause)
}

// addOrganisation adds the name of the caller's organisation to a log line, if organisations are
// declared.
func (c *call) addOrganisation(e *zerolog.Event) {
	switch {
	case c.organisation != nil:
		e.Str("organisation", c.organisation.Name)
	case c.requiresKeys():
		e.Str("organisation", unknownOrganisation)
	}
}

// recordOutcome counts the finished request and records its duration.
func (c *call) recordOutcome(outcome fanout.Outcome) {
	c.gateway.counters.recordOutcome(outcome, time.Since(c.received))
	c.countForOrganisation(outcome.String())
}

// countForOrganisation counts the request for its organisation, unless another VM has received
// it and counts it.
func (c *call) countForOrganisation(result string) {
	if c.organisation != nil && !c.delegated {
		c.gateway.organisations.count(c.organisation.Name, result, time.Now())
	}
}
