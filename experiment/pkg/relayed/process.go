package relayed

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// startProcess starts a program as a separate process with these settings. It writes the settings and the log to files in
// the binary folder that are named after the instance. The log is appended to the logs of earlier processes of the instance.
func (f *Fleet) startProcess(program, instance string, settings proto.Message) (*handle, error) {
	data, err := protojson.Marshal(settings)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(f.cfg.BinaryFolder, instance+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return nil, err
	}
	cmd := exec.Command(filepath.Join(f.cfg.BinaryFolder, program), "-settings", path)
	logFile, err := os.OpenFile(filepath.Join(f.cfg.BinaryFolder, instance+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	cmd.Stdout = logFile
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	// The exit status of a process that was signaled or killed is not checked, as it has no further meaning.
	waitForExit := func() {
		_ = cmd.Wait()
		_ = logFile.Close()
	}
	sendSignal := func(s os.Signal) { _ = cmd.Process.Signal(s) }
	return &handle{
		signal: sendSignal,
		stop: func() {
			sendSignal(syscall.SIGTERM)
			waitForExit()
		},
		kill: func() {
			sendSignal(syscall.SIGKILL)
			waitForExit()
		},
	}, nil
}
