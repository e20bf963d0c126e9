package scenario

import (
	"bytes"
	"context"
	"strings"

	"github.com/gravitational/trace"

	"github.com/crocuslanding/crocuslanding/experiment/pkg/deployment"
	"github.com/crocuslanding/crocuslanding/landingctl/pkg/command"
)

// takeZone runs landingctl to take a zone out or put it back, and waits until it is in force.
func takeZone(d *deployment.Deployment, zone string, out bool) error {
	word := "back"
	if out {
		word = "out"
	}
	return landingctl(d, command.Zone, word, zone)
}

// landingctl runs a command of landingctl; it returns an error with its output when its status is not 0.
func landingctl(d *deployment.Deployment, run func(command.Env, []string) int, args ...string) error {
	var out, errOut bytes.Buffer
	e := command.NewEnv(context.Background(), &out, &errOut)
	flags := []string{"-platform", d.Platform().Address(), "-balancers", strings.Join(d.Controls(), ",")}
	if status := run(e, append(flags, args...)); status != 0 {
		return trace.Errorf("status %d: %s%s", status, out.String(), errOut.String())
	}
	return nil
}
