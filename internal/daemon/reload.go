package daemon

import (
	"context"
	"os"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// settingsPollInterval is the interval at which the settings file's modification
// time is checked. The file may change without a signal.
const settingsPollInterval = 2 * time.Second

// Loader reads and validates the settings file at the path.
type Loader func(path string) (*pb.Settings, error)

// Reloader applies changes of the settings file while the daemon runs. If the file
// cannot be loaded, the daemon keeps the previous settings.
type Reloader struct {
	path   string
	load   Loader
	daemon *Daemon
	logger zerolog.Logger
	// signals triggers a reload on each signal received.
	signals <-chan os.Signal

	current *pb.Settings
	modTime time.Time
}

// NewReloader returns a Reloader of the settings file at path, from which the daemon
// was started.
func NewReloader(d *Daemon, path string, load Loader, signals <-chan os.Signal) *Reloader {
	r := &Reloader{path: path, load: load, daemon: d, logger: d.logger, signals: signals, current: d.settings}
	r.modTime, _ = r.fileModTime()
	return r
}

// Serve reloads the file on each signal and whenever its modification time changes,
// until the context ends.
func (r *Reloader) Serve(ctx context.Context) error {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.signals:
			r.modTime, _ = r.fileModTime()
			r.reload("signal")
		case <-ticker.C:
			if at, ok := r.fileModTime(); ok && !at.Equal(r.modTime) {
				r.modTime = at
				r.reload("file changed")
			}
		}
	}
}

func (r *Reloader) fileModTime() (time.Time, bool) {
	info, err := os.Stat(r.path)
	if err != nil {
		return r.modTime, false
	}
	return info.ModTime(), true
}

func (r *Reloader) reload(trigger string) {
	next, err := r.load(r.path)
	if err != nil {
		r.logger.Error().Err(err).Str("trigger", trigger).Msg("settings not reloaded; those before stay in force")
		return
	}
	if proto.Equal(next, r.current) {
		r.logger.Info().Str("trigger", trigger).Msg("settings reloaded; nothing changed")
		return
	}
	restart := sectionsNeedingRestart(r.current, next)
	r.current = next
	r.daemon.apply(next)
	r.logger.Info().Str("trigger", trigger).Strs("in_force_after_restart", restart).Msg("settings reloaded")
}

// sectionsNeedingRestart returns the sections that differ and take effect only after
// a restart, which are all sections except routes.
func sectionsNeedingRestart(before, after *pb.Settings) []string {
	var sections []string
	fields := before.ProtoReflect().Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if name := string(field.Name()); name != "routes" &&
			!before.ProtoReflect().Get(field).Equal(after.ProtoReflect().Get(field)) {
			sections = append(sections, name)
		}
	}
	return sections
}

// apply applies the settings that can change while the daemon runs.
func (d *Daemon) apply(settings *pb.Settings) {
	if d.gateway != nil {
		d.gateway.Reload(settings)
	}
}
