package command

import (
	"crypto/rand"
	"fmt"

	"github.com/gravitational/trace"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/envelope"
	"github.com/crocuslanding/crocuslanding/core/pkg/object"
	"github.com/crocuslanding/crocuslanding/core/pkg/platform"
	"github.com/crocuslanding/crocuslanding/core/pkg/program"
)

// Rotate replaces the key for the tags of datagrams in three steps: the new key is accepted, then
// used, then the old one is no longer accepted. Each step is in force everywhere before the next.
func Rotate(e Env, args []string) int {
	o, ok := e.parse("rotate", args, 0)
	if !ok {
		return program.StatusUsage
	}
	for _, step := range []struct {
		name string
		edit func(landing.Keyring) landing.Keyring
	}{
		{"new key accepted", withNewSecret},
		{"new key used", withNewestSigning},
		{"old keys dropped", withSigningOnly},
	} {
		ring, err := e.editKeyring(o.client(), step.edit)
		if err != nil {
			return e.fail(err)
		}
		fmt.Fprintf(e.out, "%s as %d\n", step.name, ring.Serial())
		inForce := func(r landing.BalancerReport) bool { return r.Keys() >= ring.Serial() }
		if status := e.await(o, inForce); status != program.StatusOK {
			return status
		}
	}
	return program.StatusOK
}

func (e Env) editKeyring(client *platform.Client, edit func(landing.Keyring) landing.Keyring) (landing.Keyring, error) {
	o, err := client.Get(e.ctx, object.KeyringName)
	present := landing.Keyring{}
	if err == nil {
		present, err = object.DecodeKeyring(o.Value())
	}
	if err != nil && !trace.IsNotFound(err) {
		return landing.Keyring{}, err
	}
	next := edit(present).WithSerial(present.Serial() + 1)
	_, err = client.Put(e.ctx, object.KeyringName, o.Version(), object.EncodeKeyring(next))
	return next, err
}

// withNewSecret adds a key. Where there was none, datagrams without a tag go on being accepted for now.
func withNewSecret(r landing.Keyring) landing.Keyring {
	secrets := r.Secrets()
	if len(secrets) == 0 {
		secrets = []landing.DatagramKey{{}}
	}
	key := make([]byte, envelope.KeyBytes)
	_, _ = rand.Read(key)
	number := secrets[len(secrets)-1].Number() + 1
	return r.WithSecrets(append(secrets, landing.DatagramKey{}.WithNumber(number).WithKey(key))...)
}

func withNewestSigning(r landing.Keyring) landing.Keyring {
	return r.WithSigning(r.SecretsAt(r.SecretsLen() - 1).Number())
}

func withSigningOnly(r landing.Keyring) landing.Keyring {
	return r.WithSecrets(r.SecretsAt(r.SecretsLen() - 1))
}
