package requests

import (
	"bytes"
	"io"
	"net/http"

	"github.com/crocuslanding/crocuslanding/core/pkg/retry"
)

// maxReplayBytes is the length of the longest body that is kept to be sent again.
const maxReplayBytes = 64 << 10

// replay is the body of a request. A short one of an idempotent request can be read more than once.
type replay struct {
	kept   []byte
	stream io.ReadCloser
}

// newReplay reads a short body of an idempotent request. It returns an error when the body breaks off.
func newReplay(r *http.Request) (*replay, error) {
	if r.ContentLength == 0 {
		return &replay{}, nil
	}
	if r.ContentLength < 0 || r.ContentLength > maxReplayBytes || !retry.IsIdempotent(r.Method) {
		return &replay{stream: r.Body}, nil
	}
	kept, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	return &replay{kept: kept}, nil
}

func (p *replay) isReplayable() bool {
	return p.stream == nil
}

func (p *replay) reader() io.ReadCloser {
	if p.stream != nil {
		return p.stream
	}
	if len(p.kept) == 0 {
		return http.NoBody
	}
	return io.NopCloser(bytes.NewReader(p.kept))
}
