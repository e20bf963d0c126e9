package platform

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/mark"
	"github.com/crocuslanding/crocuslanding/core/pkg/object"
)

// maxMergeAttempts is the largest number of attempts to write the merged marks while other processes change them.
const maxMergeAttempts = 10

// MergeMarks merges m into the exclusion marks that the platform stores and returns the merged marks. When another
// process changes the marks in between, it starts again. After maxMergeAttempts it returns trace.CompareFailed. After
// another error the caller can repeat the call even if the write took effect, since merging is idempotent.
func MergeMarks(ctx context.Context, c *Client, m landing.ExclusionMarks) (landing.ExclusionMarks, error) {
	var err error
	for range maxMergeAttempts {
		var merged landing.ExclusionMarks
		merged, err = tryMerge(ctx, c, m)
		if err == nil || !trace.IsCompareFailed(err) {
			return merged, err
		}
	}
	return landing.ExclusionMarks{}, err
}

func tryMerge(ctx context.Context, c *Client, m landing.ExclusionMarks) (landing.ExclusionMarks, error) {
	o, err := c.Get(ctx, object.MarksName)
	stored := landing.ExclusionMarks{}
	if err == nil {
		stored, err = object.DecodeMarks(o.Value())
	}
	if err != nil && !trace.IsNotFound(err) {
		return landing.ExclusionMarks{}, err
	}
	merged := mark.Merge(stored, m)
	if o.Version() != 0 && mark.Digest(merged) == mark.Digest(stored) {
		return merged, nil
	}
	_, err = c.Put(ctx, object.MarksName, o.Version(), object.EncodeMarks(merged))
	return merged, err
}
