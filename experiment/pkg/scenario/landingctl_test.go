package scenario

import (
	"bytes"
	"context"
	"strings"

	"github.com/gravitational/trace"

	"github.com/crocuslanding/crocuslanding/experiment/pkg/deployment"
	"github.com/crocuslanding/crocuslanding/landingctl/pkg/command"
)

// setZoneExcluded excludes or readmits a zone with landingctl, which returns when all balancers have the change in force.
func setZoneExcluded(d *deployment.Deployment, zone string, isExcluded bool) error {
	action := "back"
	if isExcluded {
		action = "out"
	}
	return runLandingctl(d, command.Zone, action, zone)
}

// runLandingctl runs a command of landingctl. It returns an error with the command's output when its status is not 0.
func runLandingctl(d *deployment.Deployment, run func(command.Env, []string) int, args ...string) error {
	var stdout, stderr bytes.Buffer
	e := command.NewEnv(context.Background(), &stdout, &stderr)
	flags := []string{"-platform", d.Platform().Address(), "-balancers", strings.Join(d.ControlAddresses(), ",")}
	if status := run(e, append(flags, args...)); status != 0 {
		return trace.Errorf("landingctl exited with status %d: %s%s", status, stdout.String(), stderr.String())
	}
	return nil
}
