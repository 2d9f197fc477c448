package cli_test

import (
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/carawayreel/carawayreel/internal/auth"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

func TestExitCodeFollowsTheOutcome(t *testing.T) {
	vm := startVM(t, nil)
	for outcome, code := range map[pb.Outcome]int{
		pb.Outcome_OUTCOME_SUCCESS: 0, pb.Outcome_OUTCOME_PARTIAL: 3, pb.Outcome_OUTCOME_NOT_RUN: 4,
		pb.Outcome_OUTCOME_UNKNOWN: 5, pb.Outcome_OUTCOME_UNSPECIFIED: 5,
	} {
		vm.search.Outcome, vm.submit.Outcome = outcome, outcome
		require.Equal(t, code, runTool(t, vm.address, "", "search", "f").code)
		require.Equal(t, code, runTool(t, vm.address, "", "edit", "f", "s:1", "a=b", "--token=x").code)
		require.Equal(t, code, runTool(t, vm.address, "", "run", "SEARCH f").code)
	}
	for status, code := range map[pb.ApplyStatus]int{
		pb.ApplyStatus_APPLY_STATUS_ACCEPTED: 0, pb.ApplyStatus_APPLY_STATUS_CONFLICT: 4,
		pb.ApplyStatus_APPLY_STATUS_UNSAFE: 4, pb.ApplyStatus_APPLY_STATUS_INVALID: 4,
		pb.ApplyStatus_APPLY_STATUS_NOT_RUN: 4, pb.ApplyStatus_APPLY_STATUS_UNKNOWN: 5,
	} {
		vm.apply.Status = status
		require.Equal(t, code, runTool(t, vm.address, "", "take-out", "--target=t-1").code)
	}
}

func TestUsageErrorsSendNoRequest(t *testing.T) {
	vm := startVM(t, nil)
	for _, arguments := range [][]string{
		{}, {"search"}, {"search", "f", "a ? 'b'"}, {"edit", "f", "s:1", "a"}, {"outcome"}, {"run"},
		{"run", "TAKE OUT TARGET t; SERCH f"}, {"take-out"}, {"take-out", "--target=t", "--failure-domain=a"},
		{"search", "f", "--time-limit=2m"}, {"edit", "f", "s:1", "a=b", "--token=x", "--key=y"},
		{"config", "apply", "/nowhere"}, {"search", "f", "--coverage=101"}, {"edit", "f", "s:1", strings.Repeat("x", 200)},
		{"transfer", "f", strings.Repeat("c", 129), "--from=a", "--to=b"}, {"search", "f", "--key-file=/nowhere"}, {"access-token", "--subject=x"},
	} {
		got := runTool(t, vm.address, "", arguments...)
		require.Equal(t, 2, got.code, arguments)
		require.NotEmpty(t, got.stderr)
	}
	require.Empty(t, vm.calls)
}

func TestErrorsAsJSON(t *testing.T) {
	got := runTool(t, unusedAddress(t), "", "search", "f", "--json")
	require.Equal(t, 6, got.code)
	var failure struct {
		Error    string
		ExitCode int
	}
	require.NoError(t, json.Unmarshal([]byte(got.stdout), &failure))
	require.Equal(t, 6, failure.ExitCode)
	require.Contains(t, failure.Error, "not sent")
}

// A change must fail over to the next server only if it was certainly not sent. Once it
// may have been sent, sending it again could run it twice.
func TestChangeIsSentAtMostOnce(t *testing.T) {
	first, second := startVM(t, nil), startVM(t, nil)
	both := first.address + "," + second.address
	for method, arguments := range map[string][]string{
		"SubmitChange":       {"edit", "f", "s:1", "a=b", "--token=x"},
		"ApplyConfiguration": {"run", "DROP FRONT f", "--json"},
		"SetServingState":    {"take-out", "--failure-domain=a"},
	} {
		first.abortMethod = method
		got := runTool(t, both, "", arguments...)
		require.Equal(t, 5, got.code, method)
		require.Contains(t, strings.Join(strings.Fields(got.stdout), " "), "was sent, but no outcome came back")
		require.Equal(t, 1, first.count(method))
		require.Zero(t, second.count(method))

		got = runTool(t, unusedAddress(t)+","+second.address, "", arguments...)
		require.Equal(t, 0, got.code, method)
		require.Equal(t, 1, second.count(method))
	}
	got := runTool(t, unusedAddress(t), "", "edit", "f", "s:1", "a=b", "--token=x")
	require.Equal(t, 6, got.code)
	require.Contains(t, got.stderr, "the request was not sent")
}

func TestSearchFailsOverToTheNextServer(t *testing.T) {
	first, second := startVM(t, nil), startVM(t, nil)
	first.abortMethod = "Search"
	got := runTool(t, first.address+","+second.address, "", "search", "f", "a = 'b'", "b < 3 AND c > 2",
		"--coverage=90", "--limit=7", "--explain", "--time-limit=140ms")
	require.Equal(t, 0, got.code)
	sent := second.searches[0]
	require.Len(t, sent.Conditions, 3)
	require.Equal(t, "f 140 90 7 true", strings.Join([]string{
		sent.Front, jsonOf(t, sent.TimeLimitMs), jsonOf(t, sent.MinimumCoveragePercent), jsonOf(t, sent.RowLimit), jsonOf(t, sent.Explain),
	}, " "))
}

func jsonOf(t *testing.T, value any) string {
	t.Helper()
	encoded, err := json.Marshal(value)
	require.NoError(t, err)
	return string(encoded)
}

func TestChangeWithoutTokenOrKeyFetchesAToken(t *testing.T) {
	vm := startVM(t, nil)
	vm.abortMethod = "SubmitChange"
	got := runTool(t, vm.address, "", "transfer", "f", "s:1", "--from=a", "--to=b")
	require.Equal(t, 5, got.code)
	require.Contains(t, got.stderr, "token: fetched")
	vm.abortMethod = ""
	require.Equal(t, 0, runTool(t, vm.address, "", "transfer", "f", "s:1", "--from=a", "--to=b", "--key=k").code)
	require.Equal(t, "k", vm.changes[0].CallerKey)
	require.Equal(t, "b", vm.changes[0].Change.GetTransfer().ToHolder)
	vm.abortMethod = "IssueToken"
	got = runTool(t, vm.address, "", "edit", "f", "s:1", "a=b")
	require.Equal(t, 6, got.code)
	require.Contains(t, got.stderr, "the change was not sent")
	require.Len(t, vm.changes, 1)
}

func TestRunStopsAtTheFirstRefusedStatement(t *testing.T) {
	vm := startVM(t, nil)
	vm.search.Outcome = pb.Outcome_OUTCOME_PARTIAL
	vm.apply.Status = pb.ApplyStatus_APPLY_STATUS_UNSAFE
	script := "SEARCH f; TAKE OUT TARGET t-1; /* not reached */ TAKE OUT TARGET t-2"
	got := runTool(t, vm.address, script, "run", "--file=-")
	require.Equal(t, 4, got.code)
	require.Len(t, vm.searches, 1)
	require.Len(t, vm.servingStates, 1)
	file := filepath.Join(t.TempDir(), "statements")
	require.NoError(t, os.WriteFile(file, []byte("SHOW VMS; SEARCH f;"), 0o600))
	require.Equal(t, 3, runTool(t, vm.address, "", "run", "--file="+file).code)
}

func TestConfigurationCommands(t *testing.T) {
	vm := startVM(t, nil)
	got := runTool(t, vm.address, "", "config", "get")
	require.Equal(t, 0, got.code)
	file := filepath.Join(t.TempDir(), "configuration.json")
	edited := strings.Replace(got.stdout, `"defaultRowLimit": 50`, `"defaultRowLimit": 60`, 1)
	require.NoError(t, os.WriteFile(file, []byte(edited), 0o600))

	got = runTool(t, vm.address, "", "config", "diff", file)
	require.Contains(t, got.stdout, "- fronts[f].limits.defaultRowLimit = 50\n+ fronts[f].limits.defaultRowLimit = 60")
	require.Contains(t, got.stdout, "2 LINES")

	require.Equal(t, 0, runTool(t, vm.address, "", "config", "validate", file).code)
	require.True(t, vm.applied[0].DryRun)
	require.Equal(t, 0, runTool(t, vm.address, "", "config", "apply", file, "--comment=why", "--author=bea").code)
	require.Equal(t, uint64(12), vm.applied[1].ExpectedRevision)
	require.Equal(t, "bea why", vm.applied[1].Configuration.Author+" "+vm.applied[1].Configuration.Comment)
	require.Equal(t, 0, runTool(t, vm.address, "", "config", "apply", file, "--expected-revision=0").code)
	require.Zero(t, vm.applied[2].ExpectedRevision)

	wrong := strings.Replace(edited, `"defaultRowLimit": 60`, `"defaultRowLimit": 0`, 1)
	got = runTool(t, unusedAddress(t), wrong, "config", "validate", "-", "--offline")
	require.Equal(t, 4, got.code)
	require.Contains(t, got.stdout, "default_row_limit")
	require.Contains(t, runTool(t, vm.address, "", "config", "history").stdout, "bea")

	got = runTool(t, vm.address, "", "config", "push", "--to="+vm.address+","+unusedAddress(t))
	require.Equal(t, 3, got.code)
	require.Len(t, vm.pushed, 1)
	require.Contains(t, got.stdout, "not every VM took the revision")
	require.Equal(t, 0, runTool(t, unusedAddress(t), "", "config", "push", "--file="+file, "--to="+vm.address).code)
	require.Equal(t, uint32(60), vm.pushed[1].Configuration.Fronts[0].Limits.DefaultRowLimit)
}

func TestStatusAndExplain(t *testing.T) {
	first, second := startVM(t, nil), startVM(t, nil)
	got := runTool(t, first.address, "", "status")
	for _, part := range []string{"vm-a-1", "17 SUBREQUESTS LEFT", "CONFIRMED 700 MS AGO", "RAMP"} {
		require.Contains(t, got.stdout, part)
	}
	require.Equal(t, 0, runTool(t, first.address, "", "vms", "--format=csv").code)
	first.decisions = []*pb.Decision{{Kind: pb.DecisionKind_DECISION_KIND_HEDGE, OffsetUs: 9, Reason: "slow"}}
	second.decisions = []*pb.Decision{{Kind: pb.DecisionKind_DECISION_KIND_PIN, OffsetUs: 2, Reason: "newest"}}
	got = runTool(t, first.address+","+second.address, "", "explain", "r-1")
	require.Equal(t, 0, got.code)
	require.Less(t, strings.Index(got.stdout, "newest"), strings.Index(got.stdout, "slow"))
	got = runTool(t, first.address+","+unusedAddress(t), "", "explain", "r-1")
	require.Equal(t, 3, got.code)
}

func TestAccessTokenRoles(t *testing.T) {
	secret := "0123456789abcdef"
	key, err := auth.NewKey([]byte(secret))
	require.NoError(t, err)
	middleware := auth.NewMiddleware(key, zerolog.Nop())
	vm := startVM(t, func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			role := auth.RoleCaller
			if strings.Contains(r.URL.Path, "Admin") {
				role = auth.RoleOperator
			}
			middleware.Require(role, next).ServeHTTP(w, r)
		})
	})
	directory := t.TempDir()
	keyFile := filepath.Join(directory, "key")
	require.NoError(t, os.WriteFile(keyFile, []byte(secret+"\n"), 0o600))
	require.Equal(t, 0, runTool(t, vm.address, "", "status", "--key-file="+keyFile).code)
	require.Equal(t, 4, runTool(t, vm.address, "", "status").code)

	got := runTool(t, vm.address, "", "access-token", "--key-file="+keyFile, "--subject=team")
	require.Equal(t, 0, got.code)
	tokenFile := filepath.Join(directory, "token")
	require.NoError(t, os.WriteFile(tokenFile, []byte(got.stdout), 0o600))
	require.Equal(t, 0, runTool(t, vm.address, "", "search", "f", "--access-token-file="+tokenFile).code)
	require.Equal(t, 4, runTool(t, vm.address, "", "status", "--access-token-file="+tokenFile).code)
	got = runTool(t, vm.address, "", "take-out", "--target=t", "--access-token-file="+tokenFile)
	require.Equal(t, 4, got.code)
	require.Contains(t, got.stderr, "refused this request and did not run it: permission_denied")
	require.Empty(t, vm.servingStates)
}

func TestEveryCommandHasExamples(t *testing.T) {
	for _, command := range []string{
		"search", "edit", "transfer", "token", "outcome", "run", "prompt", "config", "config get", "config diff",
		"config validate", "config apply", "config history", "config push", "config profile", "take-out", "bring-back", "status",
		"explain", "vms", "completion", "access-token", "load", "load-compare", "load-plot",
	} {
		got := runTool(t, "", "", append(strings.Fields(command), "--help")...)
		require.Equal(t, 0, got.code, command)
		require.Contains(t, got.stdout, "Examples:", command)
		require.Contains(t, got.stdout, "carawayreel "+command, command)
	}
}

func TestCompletionScripts(t *testing.T) {
	for _, shell := range []string{"bash", "zsh", "fish"} {
		got := runTool(t, "", "", "completion", shell)
		require.Equal(t, 0, got.code)
		require.Contains(t, got.stdout, "bring-back")
	}
	script := runTool(t, "", "", "completion", "bash").stdout +
		"\nCOMP_WORDS=(carawayreel config --json ap); COMP_CWORD=3; _carawayreel; echo \"${COMPREPLY[@]}\""
	output, err := exec.Command("bash", "-c", script).Output()
	require.NoError(t, err)
	require.Equal(t, "apply\n", string(output))
}

func TestPromptRunsStatementsThatSpanLines(t *testing.T) {
	vm := startVM(t, nil)
	got := runTool(t, vm.address, "search f\nwhere a = 'x;y';\nserch f;\nshow vms; exit\n", "prompt", "--history-file=")
	require.Len(t, vm.searches, 1)
	require.Equal(t, "x;y", vm.searches[0].Conditions[0].Value)
	require.Contains(t, got.stderr, "expected ALTER")
	require.Equal(t, 2, got.code)
	require.Contains(t, got.stderr, "was not run")
}

// Guards against a roll-out that is shown without the reason and the figures it was decided by.
func TestRolloutStatusShowsTheEvidence(t *testing.T) {
	vm := startVM(t, nil)
	got := runTool(t, vm.address, "", "rollout", "status", "s")
	require.Equal(t, 0, got.code)
	for _, text := range []string{"ROLLED BACK", "fails more often", "35.0", "20.0", "15.2"} {
		require.Contains(t, got.stdout, text)
	}
	require.Equal(t, 4, runTool(t, vm.address, "", "rollout", "status", "other").code)
}
