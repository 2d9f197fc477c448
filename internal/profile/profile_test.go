package profile

import (
	_ "github.com/carawayreel/carawayreel/internal/testseed"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

const testPort = 21000

func mustNew(t testing.TB, name string, seed uint64) *Profile {
	t.Helper()
	p, err := New(name, testPort, seed)
	require.NoError(t, err)
	return p
}

func TestDeploymentSizes(t *testing.T) {
	type size struct {
		services, targetsPerService, slots, connections, setupUs int
	}
	expected := map[string]map[string]size{
		"stamboomhuis": {
			"zoekportaal":   {10, 3, 2, 25, 5000},
			"archiefimport": {15, 3, 2, 25, 5000},
			"boombeheer":    {1, 10, 3, 100, 1000},
			"erfgenaam":     {1, 4, 3, 100, 1000},
		},
		"casgen": {
			"bond-gate":   {10, 3, 3, 30, 5000},
			"duty-ledger": {15, 3, 3, 30, 5000},
			"broker-desk": {1, 20, 3, 40, 1000},
			"fill-log":    {1, 10, 3, 40, 1000},
		},
	}
	for name, fronts := range expected {
		c := mustNew(t, name, 1).Configuration()
		require.Len(t, c.Fronts, len(fronts))
		for _, front := range c.Fronts {
			want := fronts[front.Name]
			require.Len(t, front.Services, want.services, front.Name)
			for _, service := range front.Services {
				require.Len(t, service.Targets, want.targetsPerService, service.Name)
				for _, target := range service.Targets {
					got := size{want.services, want.targetsPerService, int(target.Slots), int(target.Connections), int(target.ConnectionSetupUs)}
					require.Equal(t, want, got, target.Id)
				}
			}
		}
	}
}

func TestTargetsAreSpreadOverFailureDomainsAndPorts(t *testing.T) {
	for _, name := range Names() {
		p := mustNew(t, name, 1)
		addresses := map[string]bool{}
		for _, front := range p.Configuration().Fronts {
			for _, service := range front.Services {
				perDomain := map[string]int{}
				for _, target := range service.Targets {
					perDomain[target.FailureDomain]++
					require.False(t, addresses[target.Address], "address %s is assigned twice", target.Address)
					addresses[target.Address] = true
				}
				for _, domain := range Domains() {
					require.InDelta(t, len(service.Targets)/len(Domains()), perDomain[domain], 1)
				}
			}
		}
		require.Len(t, addresses, p.TargetCount())
	}
}

func TestNewRejectsUnknownProfile(t *testing.T) {
	_, err := New("nowhere", testPort, 1)
	require.ErrorIs(t, err, ErrUnknownProfile)
}

func TestSourceAddressMapsToItsDomain(t *testing.T) {
	for _, domain := range Domains() {
		found, ok := DomainOfSource(net.ParseIP(SourceAddress(domain)))
		require.True(t, ok)
		require.Equal(t, domain, found)
	}
	_, ok := DomainOfSource(net.ParseIP("127.0.0.1"))
	require.False(t, ok)
}

func TestEveryRecordIsInExactlyOnePartition(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := mustNew(t, rapid.SampledFrom(Names()).Draw(rt, "profile"), rapid.Uint64().Draw(rt, "seed"))
		front := rapid.SampledFrom(p.Configuration().Fronts).Draw(rt, "front").Name
		version := rapid.Uint64Range(FirstVersion, SplitVersion+2).Draw(rt, "version")
		rows := p.Search(front, p.Snapshot(front, version), nil)
		services := len(p.Snapshot(front, version).Services)
		seen := map[string]bool{}
		for _, row := range rows {
			require.False(rt, seen[row.RecordId])
			require.Equal(rt, version, row.Snapshot)
			seen[row.RecordId] = true
		}
		require.Len(rt, seen, services*recordCount(version))
	})
}

func TestSplitKeepsRows(t *testing.T) {
	p := mustNew(t, "casgen", 7)
	before := p.Snapshot("bond-gate", SplitVersion-1)
	after := p.Snapshot("bond-gate", SplitVersion)
	require.Greater(t, len(after.Services[0].Partitions), len(before.Services[0].Partitions))
	contents := func(snapshot *pb.Snapshot) map[string]string {
		found := map[string]string{}
		for _, row := range p.Search("bond-gate", snapshot, nil) {
			text, err := proto.MarshalOptions{Deterministic: true}.Marshal(&pb.Row{RecordId: row.RecordId, Fields: row.Fields})
			require.NoError(t, err)
			found[row.RecordId] = string(text)
		}
		return found
	}
	require.Equal(t, contents(before), contents(after))
}

func TestSnapshotVersionsDiffer(t *testing.T) {
	p := mustNew(t, "demo", 1)
	for version := FirstVersion; version < SplitVersion-1; version++ {
		record, _ := p.Record("archive", "archive-01:1", version)
		require.NotNil(t, record)
		a := p.Rows("archive", "archive-01", "p0", version)
		b := p.Rows("archive", "archive-01", "p0", version+1)
		require.Greater(t, len(b), len(a))
		changed := 0
		for i := range a {
			if !proto.Equal(&pb.Row{Fields: a[i].Fields}, &pb.Row{Fields: b[i].Fields}) {
				changed++
			}
		}
		require.Positive(t, changed, "version %d", version)
	}
}

func TestRecordsDependOnSeed(t *testing.T) {
	search := func(seed uint64) []*pb.Row {
		p := mustNew(t, "demo", seed)
		return p.Search("archive", p.Snapshot("archive", NewestVersion), nil)
	}
	require.Equal(t, search(1), search(1))
	require.NotEqual(t, search(1), search(2))
}

func TestMatchesEvaluatesEachOperator(t *testing.T) {
	row := &pb.Row{Fields: []*pb.Field{{Name: "name", Value: "de Vries"}, {Name: "date", Value: "1795-10-03"}}}
	cases := []struct {
		field    string
		operator pb.Operator
		value    string
		holds    bool
	}{
		{"name", pb.Operator_OPERATOR_EQUAL, "de Vries", true},
		{"name", pb.Operator_OPERATOR_EQUAL, "DE VRIES", false},
		{"name", pb.Operator_OPERATOR_PREFIX, "DE V", true},
		{"name", pb.Operator_OPERATOR_PREFIX, "vries", false},
		{"name", pb.Operator_OPERATOR_CONTAINS, "VRI", true},
		{"date", pb.Operator_OPERATOR_LESS, "1795-10-04", true},
		{"date", pb.Operator_OPERATOR_LESS, "1795-10-03", false},
		{"date", pb.Operator_OPERATOR_GREATER, "1795-10-02", true},
		{"date", pb.Operator_OPERATOR_GREATER, "1795-10-03", false},
		{"parish", pb.Operator_OPERATOR_PREFIX, "", false},
		{"name", pb.Operator_OPERATOR_UNSPECIFIED, "de Vries", false},
	}
	for _, c := range cases {
		condition := &pb.Condition{Field: c.field, Operator: c.operator, Value: c.value}
		require.Equal(t, c.holds, Matches(row, []*pb.Condition{condition}), condition.String())
	}
	require.True(t, Matches(row, nil))
}

func FuzzRecord(f *testing.F) {
	p := mustNew(f, "demo", 1)
	for _, id := range []string{"register:0", "register:-1", "register:", "register", ":1", "register:99999999999999999999"} {
		f.Add(id, uint64(3))
	}
	f.Fuzz(func(t *testing.T, id string, version uint64) {
		record, found := p.Record("register", id, version%16)
		if found && record.Service != "register" {
			t.Fatalf("record %q has service %q", id, record.Service)
		}
	})
}
