package experiment

import (
	"context"

	"golang.org/x/sync/errgroup"
)

// each runs a step for every item, up to env.Parallel concurrently, and returns the
// results in the order of the items.
func each[T, R any](ctx context.Context, env Env, items []T, step func(context.Context, T) (R, error)) ([]R, error) {
	results := make([]R, len(items))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(env.Parallel, 1))
	for i, item := range items {
		group.Go(func() error {
			if err := ctx.Err(); err != nil {
				return err
			}
			result, err := step(ctx, item)
			results[i] = result
			return err
		})
	}
	return results, group.Wait()
}
