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

// Rotate replaces the key for the authentication tags of the datagrams between balancers and sidecars, in three steps: the
// new key is accepted, then used, and then the old keys are no longer accepted. It waits after each step until the keyring
// is in force at all balancers and at the sidecars that send them heartbeats, and stops if that takes longer than the wait
// timeout. If the wait timeout is 0, it does not wait between the steps.
func Rotate(e Env, args []string) int {
	o, ok := e.parse("rotate", args, 0)
	if !ok {
		return program.StatusUsage
	}
	for _, step := range []struct {
		name string
		edit func(landing.Keyring) landing.Keyring
	}{
		{"new key accepted", withNewKey},
		{"new key used", withNewestKeySigning},
		{"old keys dropped", withNewestKeyOnly},
	} {
		ring, err := e.editKeyring(o.client(), step.edit)
		if err != nil {
			return e.fail(err)
		}
		fmt.Fprintf(e.out, "%s in keyring version %d\n", step.name, ring.Serial())
		isInForce := func(r landing.BalancerReport) bool { return r.Keys() >= ring.Serial() }
		if status := e.awaitInForce(o, isInForce); status != program.StatusOK {
			return status
		}
	}
	return program.StatusOK
}

// editKeyring reads the keyring from the platform, replaces it by the one that edit returns, with the next serial number,
// and returns the new keyring. It returns trace.CompareFailed if another operator changed the keyring in between.
func (e Env) editKeyring(client *platform.Client, edit func(landing.Keyring) landing.Keyring) (landing.Keyring, error) {
	o, err := client.Get(e.ctx, object.KeyringName)
	current := landing.Keyring{}
	if err == nil {
		current, err = object.DecodeKeyring(o.Value())
	}
	if err != nil && !trace.IsNotFound(err) {
		return landing.Keyring{}, err
	}
	next := edit(current).WithSerial(current.Serial() + 1)
	_, err = client.Put(e.ctx, object.KeyringName, o.Version(), object.EncodeKeyring(next))
	return next, err
}

// withNewKey returns the keyring with a new random key. If the keyring was empty, it also gets an empty key, so that
// datagrams without a tag are still accepted until the last step of the rotation.
func withNewKey(r landing.Keyring) landing.Keyring {
	secrets := r.Secrets()
	if len(secrets) == 0 {
		secrets = []landing.DatagramKey{{}}
	}
	key := make([]byte, envelope.KeyBytes)
	_, _ = rand.Read(key)
	number := secrets[len(secrets)-1].Number() + 1
	return r.WithSecrets(append(secrets, landing.DatagramKey{}.WithNumber(number).WithKey(key))...)
}

// withNewestKeySigning returns the keyring with the newest key as the one that signs datagrams.
func withNewestKeySigning(r landing.Keyring) landing.Keyring {
	return r.WithSigning(r.SecretsAt(r.SecretsLen() - 1).Number())
}

// withNewestKeyOnly returns the keyring with only the newest key.
func withNewestKeyOnly(r landing.Keyring) landing.Keyring {
	return r.WithSecrets(r.SecretsAt(r.SecretsLen() - 1))
}
