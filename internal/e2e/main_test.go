package e2e_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// logsVariable names an environment variable with a directory in which the logs of all
// tests are kept. Without it, only those of failed tests are kept.
const logsVariable = "CARAWAYREEL_E2E_LOGS"

// testDir returns a directory for settings, logs and the list of injected faults. It is
// kept, and its path printed, if the test fails.
func testDir(t *testing.T) string {
	t.Helper()
	base, keep := os.LookupEnv(logsVariable)
	if !keep {
		base = filepath.Join(os.TempDir(), "carawayreel-e2e")
	}
	require.NoError(t, os.MkdirAll(base, 0o700))
	dir, err := os.MkdirTemp(base, strings.ReplaceAll(t.Name(), "/", "-")+"-")
	require.NoError(t, err)
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("settings, logs and injected faults: %s", dir)
		} else if !keep {
			_ = os.RemoveAll(dir)
		}
	})
	return dir
}
