package platform

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/mark"
	"github.com/crocuslanding/crocuslanding/core/pkg/object"
)

// maxMergeTries bounds how often a merge begins anew after a conflict.
const maxMergeTries = 10

// MergeMarks merges m into the marks that the platform holds and returns all of them.
// Merging is idempotent, so a write whose answer was lost is simply tried again.
func MergeMarks(ctx context.Context, c *Client, m landing.ExclusionMarks) (landing.ExclusionMarks, error) {
	var err error
	for range maxMergeTries {
		var merged landing.ExclusionMarks
		merged, err = mergeOnce(ctx, c, m)
		if err == nil || !trace.IsCompareFailed(err) {
			return merged, err
		}
	}
	return landing.ExclusionMarks{}, err
}

func mergeOnce(ctx context.Context, c *Client, m landing.ExclusionMarks) (landing.ExclusionMarks, error) {
	o, err := c.Get(ctx, object.MarksName)
	present := landing.ExclusionMarks{}
	if err == nil {
		present, err = object.DecodeMarks(o.Value())
	}
	if err != nil && !trace.IsNotFound(err) {
		return landing.ExclusionMarks{}, err
	}
	merged := mark.Merge(present, m)
	if o.Version() != 0 && mark.Digest(merged) == mark.Digest(present) {
		return merged, nil
	}
	_, err = c.Put(ctx, object.MarksName, o.Version(), object.EncodeMarks(merged))
	return merged, err
}
