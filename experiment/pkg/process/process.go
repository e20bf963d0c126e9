// Package process runs the programs of a deployment as separate processes, for tests that kill and suspend them.
package process

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"github.com/gravitational/trace"
)

// Process is a program that was started. Its exit status is collected in the background.
type Process struct {
	cmd     *exec.Cmd
	exited  chan struct{}
	exitErr error
}

// Build compiles programs into folder. Each program has the name of its folder in the Go workspace at root. The error
// contains the compiler's output.
func Build(root, folder string, programs ...string) error {
	for _, p := range programs {
		cmd := exec.Command("go", "build", "-o", filepath.Join(folder, p), "./"+p)
		cmd.Dir = root
		if out, err := cmd.CombinedOutput(); err != nil {
			return trace.Wrap(err, string(out))
		}
	}
	return nil
}

// Start starts the program with args. Its standard output and standard error go to a new file at logPath.
func Start(logPath, program string, args ...string) (*Process, error) {
	logFile, err := os.Create(logPath)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer func() { _ = logFile.Close() }()
	cmd := exec.Command(program, args...)
	cmd.Stdout = logFile
	cmd.Stderr = logFile
	if err := cmd.Start(); err != nil {
		return nil, trace.Wrap(err)
	}
	p := &Process{cmd: cmd, exited: make(chan struct{})}
	go func() {
		p.exitErr = cmd.Wait()
		close(p.exited)
	}()
	return p, nil
}

// Suspend halts the process with SIGSTOP until Resume is called.
func (p *Process) Suspend() error {
	return trace.Wrap(p.cmd.Process.Signal(syscall.SIGSTOP))
}

// Resume continues a suspended process with SIGCONT.
func (p *Process) Resume() error {
	return trace.Wrap(p.cmd.Process.Signal(syscall.SIGCONT))
}

// Kill ends the process with SIGKILL and waits for its exit.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// Stop sends SIGTERM and waits for the process to exit. It returns nil when the exit status is 0.
func (p *Process) Stop() error {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	<-p.exited
	return p.exitErr
}
