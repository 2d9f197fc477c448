package e2e_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// testDir returns a directory for settings and logs. With CARAWAYREEL_E2E_LOGS
// set it lies below that directory and is kept.
func testDir(t *testing.T) string {
	t.Helper()
	base := os.Getenv("CARAWAYREEL_E2E_LOGS")
	if base == "" {
		return t.TempDir()
	}
	dir := filepath.Join(base, t.Name())
	require.NoError(t, os.RemoveAll(dir))
	require.NoError(t, os.MkdirAll(dir, 0o700))
	return dir
}
