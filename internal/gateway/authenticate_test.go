package gateway_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/organisation"
)

const (
	firstKey  = "first-key-0123456789"
	secondKey = "second-key-012345678"
	wrongKey  = "wrong-key-0123456789"
)

// withOrganisations returns the configuration as the next revision, with an organisation that
// holds the keys. The route patient is public.
func withOrganisations(c *pb.Configuration, keys ...string) *pb.Configuration {
	next := proto.CloneOf(c)
	next.Revision++
	declared := &pb.Organisation{Name: "org \"1\""}
	for _, key := range keys {
		digest := organisation.DigestOf(key)
		declared.KeyDigests = append(declared.KeyDigests, digest[:])
	}
	next.RouteTable.Organisations = []*pb.Organisation{declared}
	for _, route := range next.RouteTable.Routes {
		route.Public = route.Name == "patient"
	}
	return next
}

// confirm puts the configuration in force in the VM's view, confirmed some time ago.
func (f *fixture) confirm(c *pb.Configuration, ago time.Duration) {
	current := *f.views.Current()
	current.Configuration, current.ConfirmedAt = c, time.Now().Add(-ago)
	f.views.current.Store(&current)
}

func newOrganisationFixture(t *testing.T) *fixture {
	t.Helper()
	f := newFixture(t)
	f.confirm(withOrganisations(f.views.Current().Configuration, firstKey), 0)
	return f
}

// send sends a request with the headers X-Credential and X-Tenant, unless they are empty.
func (f *fixture) send(t *testing.T, method, uri, key, name string, body io.Reader) callerResponse {
	t.Helper()
	r, err := http.NewRequest(method, f.server.URL+uri, body)
	require.NoError(t, err)
	r.Host = "h"
	r.Header.Set("X-Attempt-Id", "r1")
	for header, value := range map[string]string{"X-Credential": key, "X-Tenant": name} {
		if value != "" {
			r.Header.Set(header, value)
		}
	}
	response, err := f.server.Client().Do(r)
	require.NoError(t, err)
	_ = response.Body.Close()
	return callerResponse{StatusCode: response.StatusCode, Header: response.Header, Close: response.Close}
}

// requireArrivals checks the number of requests that reached targets, and the name of the
// organisation in each; an empty name is no header. None may carry a key.
func requireArrivals(t *testing.T, f *fixture, count int, name string) {
	t.Helper()
	for _, target := range f.targets {
		for _, arrival := range target.Arrivals() {
			count--
			require.Empty(t, arrival.Header["X-Credential"])
			require.Equal(t, name, strings.Join(arrival.Header["X-Tenant"], "|"))
			for header, values := range arrival.Header {
				require.NotContains(t, strings.Join(values, "|"), "-key-", header)
			}
		}
	}
	require.Zero(t, count, "requests at targets")
}

func (f *fixture) requireNoKeyInLog(t *testing.T) {
	t.Helper()
	require.NotContains(t, f.log.String(), "-key-")
}

// Guards against requests without a valid key that reach targets, keys that do, and names of
// organisations that callers choose.
func TestKeysDecideOnRequestsAndNeverReachTargets(t *testing.T) {
	for name, c := range map[string]struct {
		uri, key, stated string
		status, arrivals int
		want             string
	}{
		"known key":                  {"/f/x", firstKey, "", 200, 1, `org "1"`},
		"caller's name is replaced":  {"/f/x", firstKey, "other", 200, 1, `org "1"`},
		"gathered":                   {"/g/x", firstKey, "other", 200, 2, `org "1"`},
		"unknown key":                {"/f/x", wrongKey, "", 401, 0, ""},
		"name without key":           {"/f/x", "", `org "1"`, 401, 0, ""},
		"absent key":                 {"/f/x", "", "", 401, 0, ""},
		"no route, unknown key":      {"/none/x", wrongKey, "", 404, 0, ""},
		"public, known key":          {"/p/x", firstKey, "", 200, 1, `org "1"`},
		"public, unknown key":        {"/p/x", wrongKey, "", 200, 1, ""},
		"public, name without a key": {"/p/x", "", `org "1"`, 200, 1, ""},
	} {
		t.Run(name, func(t *testing.T) {
			f := newOrganisationFixture(t)
			response := f.send(t, "GET", c.uri, c.key, c.stated, nil)
			require.Equal(t, c.status, response.StatusCode)
			requireArrivals(t, f, c.arrivals, c.want)
			f.requireNoKeyInLog(t)
		})
	}
}

func TestWithoutOrganisationsHeadersAreForwardedUnchanged(t *testing.T) {
	f := newFixture(t)
	require.Equal(t, 200, f.send(t, "GET", "/f/x", "their own", "theirs", nil).StatusCode)
	run := f.targets["ua"].Runs()[0]
	require.Equal(t, "their own", run.Header.Get("X-Credential"))
	require.Equal(t, "theirs", run.Header.Get("X-Tenant"))
}

// Guards against routes that open to all because every entry of the list is invalid.
func TestListOfInvalidOrganisationsAdmitsNoRequest(t *testing.T) {
	f := newFixture(t)
	c := proto.CloneOf(f.views.Current().Configuration)
	c.RouteTable.OrganisationsDeclared = true
	f.confirm(c, 0)
	require.Equal(t, 401, f.send(t, "GET", "/f/x", firstKey, "", nil).StatusCode)
}

func TestSeveralKeysInOneRequestAreNoKey(t *testing.T) {
	f := newOrganisationFixture(t)
	r, err := http.NewRequest(http.MethodGet, f.server.URL+"/f/x", http.NoBody)
	require.NoError(t, err)
	r.Host = "h"
	r.Header = http.Header{"X-Attempt-Id": {"r1"}, "X-Credential": {firstKey, wrongKey}}
	response, err := f.server.Client().Do(r)
	require.NoError(t, err)
	_ = response.Body.Close()
	require.Equal(t, 401, response.StatusCode)
}

func TestAddedAndRevokedKeysCountFromTheNextRequest(t *testing.T) {
	f := newOrganisationFixture(t)
	c := f.views.Current().Configuration
	require.Equal(t, 401, f.send(t, "GET", "/f/x", secondKey, "", nil).StatusCode)
	f.confirm(withOrganisations(c, secondKey), 0)
	require.Equal(t, 200, f.send(t, "GET", "/f/x", secondKey, "", nil).StatusCode)
	require.Equal(t, 401, f.send(t, "GET", "/f/x", firstKey, "", nil).StatusCode)
	requireArrivals(t, f, 1, `org "1"`)
}

// Guards against a VM that lost the store and refuses for good what a newer configuration
// allows: 401 and 404 are not retried.
func TestUnconfirmedConfigurationRefusesWithRetryAfter(t *testing.T) {
	f := newOrganisationFixture(t)
	f.confirm(f.views.Current().Configuration, 6*time.Second)
	for _, uri := range []string{"/f/x", "/none/x"} {
		response := f.send(t, "GET", uri, wrongKey, "", nil)
		require.Equal(t, 503, response.StatusCode, uri)
		require.Equal(t, "1.000", response.Header.Get("Retry-After"))
	}
	require.Equal(t, 200, f.send(t, "GET", "/f/x", firstKey, "", nil).StatusCode, "a known key is served")
	f.confirm(f.views.Current().Configuration, 3*time.Second)
	require.Equal(t, 401, f.send(t, "GET", "/f/x", wrongKey, "", nil).StatusCode)
	require.Equal(t, 404, f.send(t, "GET", "/none/x", wrongKey, "", nil).StatusCode)
	f.requireNoKeyInLog(t)
}

// Guards against a request with a slow body whose key was revoked before its end.
func TestKeyRevokedWhileTheBodyArrivesIsRefused(t *testing.T) {
	f := newOrganisationFixture(t)
	reader, writer := io.Pipe()
	go func() {
		_, _ = writer.Write([]byte("first"))
		time.Sleep(50 * time.Millisecond)
		f.confirm(withOrganisations(f.views.Current().Configuration, secondKey), 0)
		_, _ = writer.Write([]byte("rest"))
		_ = writer.Close()
	}()
	require.Equal(t, 401, f.send(t, "POST", "/e/x", firstKey, "", reader).StatusCode)
	requireArrivals(t, f, 0, "")
	require.Contains(t, f.log.String(), `"organisation":"org \"1\""`)
	f.requireNoKeyInLog(t)
}

func TestRequestsAreCountedByOrganisation(t *testing.T) {
	f := newOrganisationFixture(t)
	f.send(t, "GET", "/f/x", firstKey, "", nil)
	f.send(t, "GET", "/f/x", wrongKey, "", nil)
	var text strings.Builder
	f.metrics.WritePrometheus(&text)
	require.Contains(t, text.String(), `carawayreel_organisation_requests_total{organisation="org \"1\"",result="complete"} 1`)
	require.Contains(t, text.String(), `carawayreel_route_keys_invalid_total{reason="unknown"} 1`)
	require.NotContains(t, text.String(), "-key-")
	require.Contains(t, f.log.String(), `"organisation":"unknown"`)
	require.Contains(t, f.log.String(), `"configuration_age_ms":`)
}

// Guards against refusals before the check of the key that don't say whose request it was.
func TestRefusalsBeforeTheCheckNameTheOrganisation(t *testing.T) {
	f := newOrganisationFixture(t)
	require.Equal(t, 404, f.send(t, "GET", "/none/x", firstKey, "", nil).StatusCode)
	require.Contains(t, f.log.String(), `"organisation":"org \"1\""`)
}

// addOrganisations puts organisations in force at each VM.
func addOrganisations(fixtures ...*fixture) {
	for _, f := range fixtures {
		f.confirm(withOrganisations(f.views.Current().Configuration, firstKey), 0)
	}
}

// Guards against a gatherer that asks for the key again, gets it, or drops the name.
func TestDelegatedRequestsCarryTheNameInPlaceOfTheKey(t *testing.T) {
	f := newDelegationFixture(t)
	addOrganisations(f.small, f.gatherer)
	var delegated http.Header
	handler := f.gatherer.gateway.GatherHandler()
	f.gatherServer.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		delegated = r.Header.Clone()
		handler.ServeHTTP(w, r)
	})
	require.Equal(t, 200, f.small.send(t, "GET", "/g/x", firstKey, "other", nil).StatusCode)
	require.Equal(t, []string{`org "1"`}, delegated["X-Tenant"])
	require.Empty(t, delegated["X-Credential"])
	requireArrivals(t, f.gatherer, 2, `org "1"`)
	requireArrivals(t, f.small, 0, "")
	require.Equal(t, 401, f.small.send(t, "GET", "/g/x", wrongKey, `org "1"`, nil).StatusCode)
	require.Equal(t, 401, f.small.send(t, "GET", "/g/x", "", `org "1"`, nil).StatusCode)
	requireArrivals(t, f.gatherer, 2, `org "1"`)
}

// Guards against a name that a caller chose, which a VM with an older configuration of the same
// version would pass on to a gatherer.
func TestGathererRunsNoRequestThatWasNotAuthenticated(t *testing.T) {
	f := newDelegationFixture(t)
	addOrganisations(f.gatherer)
	require.Equal(t, 200, f.small.send(t, "GET", "/g/x", "", `org "1"`, nil).StatusCode)
	requireArrivals(t, f.gatherer, 0, "")
	require.Equal(t, 2, runs(f.small), "the VM gathers by itself")
}

func TestRelayedRequestsCarryTheNameInPlaceOfTheKey(t *testing.T) {
	f := newRelayFixture(t)
	addOrganisations(f.gatherer, f.relay)
	require.Equal(t, 200, f.gatherer.send(t, "GET", "/g/x", firstKey, "other", nil).StatusCode)
	requireArrivals(t, &fixture{targets: f.targets}, 2*shardsPerDomain, `org "1"`)
	require.Contains(t, relayedBatches(f.relay), "carawayreel_delegation_batches_relayed_total 1")
}

func relayedBatches(f *fixture) string {
	var text strings.Builder
	f.metrics.WritePrometheus(&text)
	return text.String()
}
