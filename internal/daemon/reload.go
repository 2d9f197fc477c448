package daemon

import (
	"context"
	"os"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// settingsPoll is the time between two looks at the settings file, which may
// change without a signal.
const settingsPoll = 2 * time.Second

// Loader reads and checks the settings file at the path.
type Loader func(path string) (*pb.Settings, error)

// Reloader puts changes of the settings file in force. Settings that cannot be
// read leave those before in force.
type Reloader struct {
	path   string
	load   Loader
	daemon *Daemon
	logger zerolog.Logger
	// signals tells that the file changed.
	signals <-chan os.Signal

	current  *pb.Settings
	modified time.Time
}

// NewReloader returns a Reloader of the file that the daemon was started with.
func NewReloader(d *Daemon, path string, load Loader, signals <-chan os.Signal) *Reloader {
	r := &Reloader{path: path, load: load, daemon: d, logger: d.logger, signals: signals, current: d.settings}
	r.modified, _ = r.modifiedAt()
	return r
}

// Serve follows the file until the context ends.
func (r *Reloader) Serve(ctx context.Context) error {
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.signals:
			r.modified, _ = r.modifiedAt()
			r.reload("signal")
		case <-ticker.C:
			if at, ok := r.modifiedAt(); ok && !at.Equal(r.modified) {
				r.modified = at
				r.reload("file changed")
			}
		}
	}
}

func (r *Reloader) modifiedAt() (time.Time, bool) {
	info, err := os.Stat(r.path)
	if err != nil {
		return r.modified, false
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
	restart := needsRestart(r.current, next)
	r.current = next
	r.daemon.apply(next)
	r.logger.Info().Str("trigger", trigger).Strs("in_force_after_restart", restart).Msg("settings reloaded")
}

// needsRestart lists the sections that differ and are read at the start only.
func needsRestart(before, after *pb.Settings) []string {
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

// apply puts the settings in force that can change while the daemon runs.
func (d *Daemon) apply(settings *pb.Settings) {
	if d.gateway != nil {
		d.gateway.Reload(settings)
	}
}
