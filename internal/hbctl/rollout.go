package hbctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"heatherbarrow/internal/objectstore"
	"heatherbarrow/internal/rollout"
)

func (a *app) propose(ctx context.Context, args []string) error {
	path, err := one(args, "bundle file")
	if err != nil {
		return err
	}
	content, _, err := canonicalFile(path)
	if err != nil {
		return err
	}
	key, err := a.key()
	if err != nil {
		return err
	}
	proposal, err := a.store.Propose(ctx, content, a.settings.Operator, key)
	if err != nil {
		return err
	}
	fmt.Fprintf(a.stdout, "proposed generation %d sha256 %s\n", proposal.Generation, proposal.SHA256)
	return nil
}

func (a *app) approve(ctx context.Context, args []string) error {
	hash, err := one(args, "proposal hash")
	if err != nil {
		return err
	}
	key, err := a.key()
	if err != nil {
		return err
	}
	proposal, err := a.store.Approve(ctx, hash, a.settings.Operator, key, time.Now())
	if err != nil {
		return err
	}
	fmt.Fprintf(a.stdout, "approved generation %d sha256 %s\n", proposal.Generation, proposal.SHA256)
	return nil
}

func (a *app) rollout(ctx context.Context, args []string) error {
	hash, err := one(args, "proposal hash")
	if err != nil {
		return err
	}
	current, err := a.store.RollOut(ctx, hash)
	var stale *rollout.StaleError
	if errors.As(err, &stale) {
		a.explainStale(ctx, stale)
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(a.stdout, "in force: generation %d sha256 %s\n", current.Generation, current.SHA256)
	a.prune(ctx)
	return nil
}

// prune removes bundles that are past their retention. A failure does not fail
// the rollout: the next one tries again.
func (a *app) prune(ctx context.Context) {
	removed, err := a.store.Prune(ctx, a.settings.KeepGenerations)
	if err != nil {
		fmt.Fprintln(a.stdout, "old bundles were not removed:", err)
	}
	if removed > 0 {
		fmt.Fprintf(a.stdout, "removed %d bundles older than %d generations\n", removed, a.settings.KeepGenerations)
	}
}

// explainStale tells the operator who lost a race what came into force instead.
func (a *app) explainStale(ctx context.Context, e *rollout.StaleError) {
	c := &e.Current
	fmt.Fprintf(a.stdout, "not rolled out: the proposal was made for generation %d, which another bundle has taken\n", e.Proposal.Generation)
	fmt.Fprintf(a.stdout, "in force: generation %d sha256 %s, author %s, approver %s, approved %s\n", c.Generation, c.SHA256, c.Author, c.Approver, formatUnix(c.ApprovedUnixMS))
	before, err := a.store.Bundle(ctx, e.Proposal.Base)
	if err != nil {
		return
	}
	after, err := a.store.Bundle(ctx, c.SHA256)
	if err != nil {
		return
	}
	fmt.Fprintln(a.stdout, "changed since the proposal was made:")
	a.printChanges(rollout.Diff(before, after))
	fmt.Fprintln(a.stdout, "merge these changes into the bundle file and propose it again")
}

func (a *app) printChanges(changes []rollout.Change) {
	for _, change := range changes {
		fmt.Fprintln(a.stdout, "  "+change.String())
	}
	if len(changes) == 0 {
		fmt.Fprintln(a.stdout, "  nothing")
	}
}

func formatUnix(ms int64) string {
	if ms == 0 {
		return "never"
	}
	return time.UnixMilli(ms).UTC().Format(time.RFC3339)
}

// diffCommand is "hbctl diff".
type diffCommand struct {
	command
	JSON bool `long:"json" description:"print JSON"`
}

func (d *diffCommand) print(ctx context.Context, args []string) error {
	name, err := one(args, "bundle file or hash")
	if err != nil {
		return err
	}
	next, hash, err := d.app.fileOrStored(ctx, name)
	if err != nil {
		return err
	}
	current, _, err := d.app.store.Current(ctx)
	if err != nil && !errors.Is(err, objectstore.ErrNotFound) {
		return err
	}
	inForce, err := d.app.store.Bundle(ctx, current.SHA256)
	if err != nil {
		return err
	}
	changes := rollout.Diff(inForce, next)
	if d.JSON {
		return json.NewEncoder(d.app.stdout).Encode(changes)
	}
	if current.Generation == 0 {
		fmt.Fprintln(d.app.stdout, "in force: no bundle")
	} else {
		fmt.Fprintf(d.app.stdout, "in force: generation %d sha256 %s\n", current.Generation, current.SHA256)
	}
	fmt.Fprintf(d.app.stdout, "%s: sha256 %s\n", name, hash)
	d.app.printChanges(changes)
	return nil
}
