package faults

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/rollout"
)

const operatorRetry = 200 * time.Millisecond

// operatorCalls returns the calls that bring a bundle in force. Each may be
// repeated, as an operator does after an error.
func (c *cluster) operatorCalls(content []byte, hash string) map[string]func(ctx context.Context) error {
	return map[string]func(ctx context.Context) error{
		"propose": func(ctx context.Context) error {
			_, err := c.store.Propose(ctx, content, "ana", c.keys["ana"])
			return err
		},
		"approve": func(ctx context.Context) error {
			_, err := c.store.Approve(ctx, hash, "ben", c.keys["ben"], time.Now())
			return err
		},
		"move-current": func(ctx context.Context) error {
			_, err := c.store.RollOut(ctx, hash)
			return err
		},
	}
}

// runRolloutCell rolls out a bundle, injects the fault in the step, heals and
// returns the broken invariants.
func runRolloutCell(t *testing.T, stepName string, after time.Duration, f fault) []string {
	c := newCluster(t)
	c.start()
	a := newCaller(c)
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	content, hash, err := c.bundle(12).Canonical()
	require.NoError(t, err)
	var healed sync.WaitGroup
	inject := func() {
		f.inject(c, a)
		healed.Go(func() {
			time.Sleep(faultTime)
			c.heal()
		})
	}
	calls := c.operatorCalls(content, hash)
	for _, call := range []string{"propose", "approve", "move-current"} {
		if call == stepName || call == "move-current" && stepName == "watch" {
			inject()
		}
		if err := repeat(ctx, calls[call]); err != nil {
			return []string{fmt.Sprintf("P8: %s: %v", call, err)}
		}
	}
	if after > 0 {
		time.Sleep(after)
		inject()
	}
	healed.Wait()
	var broken []string
	if !c.eventually("the bundle is in force on all hosts", spreadTimeout, func() bool { return c.allAt(2) }) {
		broken = append(broken, "P8: the bundle is not in force on all hosts")
	}
	broken = append(broken, c.probe(ctx, a)...)
	broken = append(broken, c.checkAnswers(a.all())...)
	return append(broken, c.versions.broken()...)
}

// repeat calls until there is no error or ctx ends.
func repeat(ctx context.Context, call func(ctx context.Context) error) error {
	for {
		attempt, cancel := context.WithTimeout(ctx, 5*time.Second)
		err := call(attempt)
		cancel()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(operatorRetry):
		}
	}
}

// runRaceCell lets two operators roll out different bundles at once.
func runRaceCell(t *testing.T) []string {
	c := newCluster(t)
	c.start()
	ctx := context.Background()
	var hashes []string
	for _, tokens := range []int{20, 21} {
		content, hash, err := c.bundle(tokens).Canonical()
		require.NoError(t, err)
		calls := c.operatorCalls(content, hash)
		require.NoError(t, calls["propose"](ctx))
		require.NoError(t, calls["approve"](ctx))
		hashes = append(hashes, hash)
	}
	errs := make([]error, len(hashes))
	var racing sync.WaitGroup
	for i, hash := range hashes {
		racing.Go(func() { _, errs[i] = c.store.RollOut(ctx, hash) })
	}
	racing.Wait()
	won := 0
	var broken []string
	for _, err := range errs {
		switch {
		case err == nil:
			won++
		case !errors.Is(err, rollout.ErrStale):
			broken = append(broken, "P8: the operator who lost was told "+err.Error())
		}
	}
	if won != 1 {
		broken = append(broken, fmt.Sprintf("P8: %d of two racing rollouts won", won))
	}
	if !c.eventually("the winner is in force on all hosts", spreadTimeout, func() bool { return c.allAt(2) }) {
		broken = append(broken, "P8: the winner is not in force on all hosts")
	}
	return append(broken, c.versions.broken()...)
}
