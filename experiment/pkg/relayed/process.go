package relayed

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// startProcess starts a program with these settings as a process of its own.
func (f *Fleet) startProcess(program, instance string, settings proto.Message) (*running, error) {
	data, err := protojson.Marshal(settings)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(f.binaries, instance+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return nil, err
	}
	cmd := exec.Command(filepath.Join(f.binaries, program), "-settings", path)
	log, err := os.OpenFile(filepath.Join(f.binaries, instance+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	cmd.Stdout = log
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	// A process that was signaled or killed ends with a status that says nothing more.
	wait := func() {
		_ = cmd.Wait()
		_ = log.Close()
	}
	signal := func(s os.Signal) { _ = cmd.Process.Signal(s) }
	return &running{
		signal: signal,
		stop: func() {
			signal(syscall.SIGTERM)
			wait()
		},
		kill: func() {
			signal(syscall.SIGKILL)
			wait()
		},
	}, nil
}
