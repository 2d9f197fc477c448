package settings_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawayreel/carawayreel/internal/settings"
)

const minimalFile = `
[vm]
id = vm-a-1
failure_domain = a
[listen]
caller_address = 127.0.0.1:7100
peer_address = 127.0.0.1:7200
[platform]
address = 127.0.0.1:7000
`

func writeFile(t testing.TB, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "vm.ini")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestLoadFillsDefaults(t *testing.T) {
	s, err := settings.Load(writeFile(t, minimalFile))
	require.NoError(t, err)
	require.Equal(t, "vm-a-1", s.Vm.Id)
	require.EqualValues(t, 300, s.Peers.HeartbeatIntervalMs)
	require.True(t, s.Experiment.Hedging)
	require.Equal(t, "in-flight", s.Experiment.ReplicaChoice)
}

func TestLoadReportsLocationOfError(t *testing.T) {
	cases := []struct{ name, text, section, key, value, problem string }{
		{"unknown section", minimalFile + "[other]\nx = 1\n", "other", "", "", "unknown section"},
		{"unknown key", minimalFile + "[limits]\nspeed = 1\n", "limits", "speed", "1", "unknown key"},
		{"wrong type", minimalFile + "[limits]\nguard_ms = soon\n", "limits", "guard_ms", "soon", "wrong type"},
		{"out of range", minimalFile + "[peers]\nmonitored_vms = 99\n", "peers", "monitored_vms", "99", "out of range"},
		{"missing", "[vm]\nid = x\nfailure_domain = a\n", "listen", "caller_address", "", "missing"},
		{"bad address", "[vm]\nid = x\nfailure_domain = a\n[listen]\ncaller_address = here\n", "listen", "caller_address", "here", "out of range"},
		{"unsafe clock gap", minimalFile + "[limits]\nclock_gap_ms = 30000\n", "limits", "clock_gap_ms", "30000", "too long"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			path := writeFile(t, c.text)
			_, err := settings.Load(path)
			var settingsErr *settings.Error
			require.ErrorAs(t, err, &settingsErr)
			require.Equal(t, path, settingsErr.File)
			require.Equal(t, c.section, settingsErr.Section)
			require.Equal(t, c.key, settingsErr.Key)
			require.Equal(t, c.value, settingsErr.Value)
			require.Equal(t, c.problem, settingsErr.Problem)
			require.NotEmpty(t, settingsErr.Accepted)
		})
	}
}

// Guards against rejecting the settings files that a platform generates from a template:
// they contain fractional limits, and values that are not set are empty.
func TestLoadAcceptsUnitsFractionsAndEmptyNumbers(t *testing.T) {
	s, err := settings.Load(writeFile(t, minimalFile+`[limits]
stop_timeout_ms = 6.5s
[routes]
extra_load_share = 0.15
extra_load_slack = 37.91666666666667
extra_load_window_ms = 10s
drain_ms = 3000.5
max_waiting_requests =
`))
	require.NoError(t, err)
	require.EqualValues(t, 6500, s.Limits.StopTimeoutMs)
	require.InDelta(t, 0.15, s.Routes.ExtraLoadShare, 1e-9)
	require.InDelta(t, 37.9167, s.Routes.ExtraLoadSlack, 1e-3)
	require.EqualValues(t, 10000, s.Routes.ExtraLoadWindowMs)
	require.EqualValues(t, 3000, s.Routes.DrainMs)
	require.EqualValues(t, 1000, s.Routes.MaxWaitingRequests)
	for _, bad := range []string{"-1", "-1s", "1e99", "NaN", "soon"} {
		_, err := settings.Load(writeFile(t, minimalFile+"[routes]\ndrain_ms = "+bad+"\n"))
		require.Error(t, err, bad)
	}
}

func TestDefaultsLackOnlyRequiredKeys(t *testing.T) {
	_, err := settings.Load(writeFile(t, settings.Defaults()))
	var settingsErr *settings.Error
	require.ErrorAs(t, err, &settingsErr)
	require.Equal(t, "missing", settingsErr.Problem)
}

func FuzzLoad(f *testing.F) {
	f.Add(minimalFile)
	f.Add(settings.Defaults())
	f.Add("[vm\nid")
	f.Add("[limits]\nguard_ms = -1")
	f.Fuzz(func(t *testing.T, text string) {
		_, _ = settings.Load(writeFile(t, text))
	})
}
