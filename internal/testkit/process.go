// Package testkit starts real processes of the system and of its stand-in, for
// tests, the demonstration and measurements. It is not part of the product.
package testkit

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Names of the binaries.
const (
	daemonBinary  = "carawayreeld"
	toolBinary    = "carawayreel"
	standinBinary = "standin"
)

var build struct {
	once sync.Once
	dir  string
	err  error
}

// Binaries builds the commands once per process and returns their directory.
func Binaries() (string, error) {
	build.once.Do(func() {
		build.dir, build.err = buildBinaries()
	})
	return build.dir, build.err
}

func buildBinaries() (string, error) {
	dir := filepath.Join(moduleRoot(), "bin")
	command := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "./cmd/...")
	command.Dir = moduleRoot()
	output, err := command.CombinedOutput()
	return dir, errors.Wrapf(err, "build: %s", output)
}

func moduleRoot() string {
	_, file, _, _ := runtime.Caller(0)
	return filepath.Join(filepath.Dir(file), "..", "..")
}

// Process is one started process.
type Process struct {
	Name    string
	command *exec.Cmd
	log     *os.File
	done    chan struct{}
	err     error
}

// start runs a binary with its output appended to a log file.
func start(dir, name, binary string, arguments ...string) (*Process, error) {
	binaries, err := Binaries()
	if err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "log file")
	}
	command := exec.Command(filepath.Join(binaries, binary), arguments...)
	command.Stdout = log
	command.Stderr = log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	p := &Process{Name: name, command: command, log: log, done: make(chan struct{})}
	go p.reap()
	return p, nil
}

func (p *Process) reap() {
	p.err = p.command.Wait()
	_ = p.log.Close()
	close(p.done)
}

// Signal sends a signal; a process that has ended is left alone.
func (p *Process) Signal(signal syscall.Signal) {
	select {
	case <-p.done:
	default:
		_ = p.command.Process.Signal(signal)
	}
}

// PID returns the process identifier.
func (p *Process) PID() int {
	return p.command.Process.Pid
}

// Wait waits for the end of the process and returns its exit code, or an error
// when the context ends first.
func (p *Process) Wait(ctx context.Context) (int, error) {
	select {
	case <-p.done:
		return p.command.ProcessState.ExitCode(), nil
	case <-ctx.Done():
		return 0, errors.Wrapf(ctx.Err(), "%s does not end", p.Name)
	}
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// FreeAddresses returns n addresses on the loopback interface whose ports were
// free just now.
func FreeAddresses(n int) ([]string, error) {
	listeners := make([]net.Listener, 0, n)
	defer func() {
		for _, listener := range listeners {
			_ = listener.Close()
		}
	}()
	addresses := make([]string, 0, n)
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "free port")
		}
		listeners = append(listeners, listener)
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// portRange is a range of ports that no other test process uses while it is
// held. Looking for free ports is not enough: a target that is down has closed
// its port, and another deployment could take it.
type portRange struct {
	base int
	lock *os.File
}

// reservePorts returns a range of n ports that are free now, below those that
// the system assigns by itself.
func reservePorts(n int) (*portRange, error) {
	const first, last = 10000, 30000
	dir := filepath.Join(os.TempDir(), "carawayreel-ports")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, errors.Wrap(err, "port locks")
	}
	for base := first; base+n <= last; base += n {
		lock, err := tryLock(filepath.Join(dir, fmt.Sprint(base)))
		if err != nil {
			return nil, err
		}
		if lock == nil {
			continue
		}
		if portsFree(base, n) {
			return &portRange{base: base, lock: lock}, nil
		}
		_ = lock.Close()
	}
	return nil, errors.New("no free range of ports")
}

// tryLock locks the file, or returns nil when another process holds the lock.
// The system releases the lock when its holder ends.
func tryLock(path string) (*os.File, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "port lock")
	}
	err = syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err == nil {
		return file, nil
	}
	_ = file.Close()
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil, nil
	}
	return nil, errors.Wrap(err, "port lock")
}

func (r *portRange) release() {
	if r != nil {
		_ = r.lock.Close()
	}
}

func portsFree(base, n int) bool {
	for port := base; port < base+n; port++ {
		listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port})
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// Poll calls check until it reports true or the time limit is over.
func Poll(ctx context.Context, limit time.Duration, check func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	const interval = 20 * time.Millisecond
	for !check() {
		select {
		case <-time.After(interval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Tool runs the command-line tool and returns its exit code.
func Tool(ctx context.Context, output io.Writer, arguments ...string) (int, error) {
	binaries, err := Binaries()
	if err != nil {
		return 0, err
	}
	command := exec.CommandContext(ctx, filepath.Join(binaries, toolBinary), arguments...)
	command.Stdout = output
	command.Stderr = output
	err = command.Run()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return exit.ExitCode(), nil
	}
	return 0, errors.Wrap(err, "run tool")
}

// Reachable reports whether something listens at the address.
func Reachable(address string) bool {
	connection, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	_ = connection.Close()
	return true
}
