package regression

import (
	"os"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/crocuslanding/crocuslanding/core/gen/codec"
	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/gen/landingpb"
)

// ReadFile reads a baseline from a JSON file.
func ReadFile(path string) (landing.RegressionBaseline, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return landing.RegressionBaseline{}, trace.Wrap(err)
	}
	var m landingpb.RegressionBaseline
	if err := protojson.Unmarshal(b, &m); err != nil {
		return landing.RegressionBaseline{}, trace.BadParameter("%s: %v", path, err)
	}
	return codec.DecodeRegressionBaseline(&m), nil
}

// WriteFile writes a baseline to a JSON file.
func WriteFile(path string, baseline landing.RegressionBaseline) error {
	b, err := protojson.MarshalOptions{Multiline: true}.Marshal(codec.EncodeRegressionBaseline(baseline))
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.ConvertSystemError(os.WriteFile(path, append(b, '\n'), 0o644))
}
