package testkit

import (
	"context"
	"syscall"

	"github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1/carawayreelv1connect"
)

// VM is one VM of a deployment.
type VM struct {
	ID            string
	FailureDomain string
	CallerAddress string
	PeerAddress   string
	RelayAddress  string
	Caller        carawayreelv1connect.CallerServiceClient
	Admin         carawayreelv1connect.AdminServiceClient

	process      *Process
	settingsPath string
}

// PID returns the process ID of the VM.
func (vm *VM) PID() int {
	return vm.process.PID()
}

// Kill kills the VM's process with SIGKILL and waits for it to exit.
func (vm *VM) Kill() {
	vm.process.Kill()
}

// Pause suspends the VM's process with SIGSTOP until Resume is called.
func (vm *VM) Pause() {
	vm.process.Signal(syscall.SIGSTOP)
}

// Resume continues a VM that Pause suspended.
func (vm *VM) Resume() {
	vm.process.Signal(syscall.SIGCONT)
}

// Terminate starts a planned stop with SIGTERM and does not wait for the process to
// exit.
func (vm *VM) Terminate() {
	vm.process.Signal(syscall.SIGTERM)
}

// Stop performs a planned stop, waits for the process to exit and returns its exit
// code.
func (vm *VM) Stop(ctx context.Context) (int, error) {
	vm.Terminate()
	return vm.Wait(ctx)
}

// Wait waits for the VM's process to exit, for at most stopTimeout, and returns its
// exit code.
func (vm *VM) Wait(ctx context.Context) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	return vm.process.Wait(ctx)
}
