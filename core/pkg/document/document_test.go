package document

import (
	"testing"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/codec"
	"github.com/crocuslanding/crocuslanding/core/gen/landingpb"
	"github.com/crocuslanding/crocuslanding/core/pkg/settings"
)

// Parse accepts a file without settings; the check of the settings reports those that are missing.
func TestCheckSidecarReportsEveryMissingSetting(t *testing.T) {
	is := is.New(t)
	m := &landingpb.SidecarSettings{}
	d := Parse("sidecar.json", []byte("{}"), m)
	is.Equal(len(d.Findings()), 0)
	settings.CheckSidecar(codec.DecodeSidecarSettings(m), d.AddFinding)
	is.Equal(len(d.Findings()), 15) // the number of required settings of a sidecar
}

// Parse must not panic on any input, nor CheckBalancer on any settings that Parse accepts.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"instance": "a", "workers": 2, "gossip": "1.5s", "peers": ["127.0.0.1:1"]}`))
	f.Add([]byte(`{"instance": [1, {"a": null}], "instance": 1e999}`))
	f.Add([]byte(`{"gossip": "99999999999999999999s"`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(_ *testing.T, b []byte) {
		m := &landingpb.BalancerSettings{}
		if d := Parse("fuzz.json", b, m); len(d.Findings()) == 0 {
			settings.CheckBalancer(codec.DecodeBalancerSettings(m), d.AddFinding)
		}
	})
}
