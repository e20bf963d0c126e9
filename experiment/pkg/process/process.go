// Package process runs the programs of a deployment as separate processes, for tests that
// kill and freeze them.
package process

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"github.com/gravitational/trace"
)

// Process is one running program.
type Process struct {
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// Build builds the programs of the workspace at root into folder. It returns an error with the compiler's output.
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

// Start starts a program with these arguments; its log goes to the file at log.
func Start(log, program string, args ...string) (*Process, error) {
	out, err := os.Create(log)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(program, args...)
	cmd.Stdout = out
	cmd.Stderr = out
	if err := cmd.Start(); err != nil {
		return nil, trace.Wrap(err)
	}
	p := &Process{cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// Freeze stops the process until Thaw.
func (p *Process) Freeze() error {
	return trace.Wrap(p.cmd.Process.Signal(syscall.SIGSTOP))
}

// Thaw lets a frozen process go on.
func (p *Process) Thaw() error {
	return trace.Wrap(p.cmd.Process.Signal(syscall.SIGCONT))
}

// Kill ends the process at once.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Stop asks the process to stop and returns its error; nil says that its exit status was 0.
func (p *Process) Stop() error {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	<-p.done
	return p.err
}
