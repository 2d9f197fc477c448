// Package testkit runs the system and its stand-in as processes for tests, the
// demonstration and measurements. It is not part of the product.
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

// Names of the binaries in the directory that Binaries returns.
const (
	daemonBinary  = "carawayreeld"
	cliBinary     = "carawayreel"
	standinBinary = "standin"
)

var buildResult struct {
	once sync.Once
	dir  string
	err  error
}

// Binaries builds the commands once per process and returns their directory.
func Binaries() (string, error) {
	buildResult.once.Do(func() {
		buildResult.dir, buildResult.err = buildBinaries()
	})
	return buildResult.dir, buildResult.err
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

// Process is a child process.
type Process struct {
	Name    string
	dir     string
	command *exec.Cmd
	log     *os.File
	done    chan struct{}
	err     error
}

// startProcess starts a binary and appends its output to the file NAME.log in dir.
// The kernel kills the started process when the process that called startProcess ends.
func startProcess(dir, name, binary string, arguments ...string) (*Process, error) {
	binaries, err := Binaries()
	if err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open log file")
	}
	command := exec.Command(filepath.Join(binaries, binary), arguments...)
	command.Stdout = log
	command.Stderr = log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	p := &Process{Name: name, dir: dir, command: command, log: log, done: make(chan struct{})}
	recordEvent(dir, "start %s, process %d", name, command.Process.Pid)
	go p.reap()
	return p, nil
}

func (p *Process) reap() {
	p.err = p.command.Wait()
	_ = p.log.Close()
	close(p.done)
}

// eventsFile is the file in a deployment's directory that lists what the test did to the
// deployment and when.
const eventsFile = "events.log"

// recordEvent appends a line to the list of events. The list only helps to explain a
// failed test, so errors are ignored.
func recordEvent(dir, format string, arguments ...any) {
	file, err := os.OpenFile(filepath.Join(dir, eventsFile), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return
	}
	line := time.Now().UTC().Format("15:04:05.000") + " " + fmt.Sprintf(format, arguments...) + "\n"
	_, _ = file.WriteString(line)
	_ = file.Close()
}

// Signal sends a signal to the process. It does nothing if the process has ended.
func (p *Process) Signal(signal syscall.Signal) {
	select {
	case <-p.done:
	default:
		recordEvent(p.dir, "signal %s: %s", p.Name, signal)
		_ = p.command.Process.Signal(signal)
	}
}

// PID returns the process ID.
func (p *Process) PID() int {
	return p.command.Process.Pid
}

// Wait waits for the process to exit and returns its exit code. It returns an error
// if the context ends first.
func (p *Process) Wait(ctx context.Context) (int, error) {
	select {
	case <-p.done:
		return p.command.ProcessState.ExitCode(), nil
	case <-ctx.Done():
		return 0, errors.Wrapf(ctx.Err(), "wait for %s to exit", p.Name)
	}
}

// Kill sends SIGKILL to the process and waits for it to exit.
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

// FreeAddresses returns n distinct loopback addresses whose ports were free when it
// checked. It does not reserve them.
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
			return nil, errors.Wrap(err, "find free port")
		}
		listeners = append(listeners, listener)
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// portRange is a range of ports reserved by a file lock, so that no other test
// process uses it. Checking for free ports is not enough: a crashed target closes
// its port, and another deployment could take it in the meantime.
type portRange struct {
	base int
	lock *os.File
}

// reservePorts locks a range of n ports that are currently free. The range lies
// below the ephemeral port range, from which the operating system assigns ports to
// outgoing connections.
func reservePorts(n int) (*portRange, error) {
	const firstPort, lastPort = 10000, 30000
	dir := filepath.Join(os.TempDir(), "carawayreel-ports")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, errors.Wrap(err, "create port lock directory")
	}
	for base := firstPort; base+n <= lastPort; base += n {
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
	return nil, errors.New("no free port range")
}

// tryLock locks the file, or returns nil without an error if the file is already
// locked. The operating system releases the lock when the process that holds it ends.
func tryLock(path string) (*os.File, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open port lock")
	}
	err = syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err == nil {
		return file, nil
	}
	_ = file.Close()
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil, nil
	}
	return nil, errors.Wrap(err, "acquire port lock")
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

// Poll calls check every 20 milliseconds until it returns true. It returns an error
// if the timeout passes or the context ends first.
func Poll(ctx context.Context, timeout time.Duration, check func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
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

// RunTool runs the command-line tool, waits for it to exit and returns its exit code.
func RunTool(ctx context.Context, output io.Writer, arguments ...string) (int, error) {
	binaries, err := Binaries()
	if err != nil {
		return 0, err
	}
	command := exec.CommandContext(ctx, filepath.Join(binaries, cliBinary), arguments...)
	command.Stdout = output
	command.Stderr = output
	err = command.Run()
	var exitErr *exec.ExitError
	if errors.As(err, &exitErr) {
		return exitErr.ExitCode(), nil
	}
	return 0, errors.Wrap(err, "run tool")
}

// Reachable reports whether a TCP connection to the address succeeds within a
// second.
func Reachable(address string) bool {
	connection, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	_ = connection.Close()
	return true
}
