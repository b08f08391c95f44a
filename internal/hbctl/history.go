package hbctl

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"text/tabwriter"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/objectstore"
)

// show prints a bundle as it was stored, indented, so that it can be edited and
// proposed again.
func (a *app) show(ctx context.Context, args []string) error {
	hash, err := a.shownHash(ctx, args)
	if err != nil {
		return err
	}
	content, err := a.stored(ctx, hash)
	if err != nil {
		return err
	}
	var out bytes.Buffer
	if err := json.Indent(&out, content, "", "  "); err != nil {
		return err
	}
	fmt.Fprintln(a.stdout, out.String())
	return nil
}

func (a *app) shownHash(ctx context.Context, args []string) (string, error) {
	if len(args) > 0 {
		return one(args, "hash")
	}
	current, _, err := a.store.Current(ctx)
	if errors.Is(err, objectstore.ErrNotFound) {
		return "", errors.New("no bundle is in force")
	}
	return current.SHA256, err
}

// stored returns a bundle's content by its hash.
func (a *app) stored(ctx context.Context, hash string) ([]byte, error) {
	content, err := a.store.Content(ctx, hash)
	if errors.Is(err, objectstore.ErrNotFound) {
		return nil, fmt.Errorf("no bundle with the hash %s is stored; see hbctl history", hash)
	}
	return content, err
}

// fileOrStored reads a bundle from a file, or from the platform when the name is
// a hash and no such file exists.
func (a *app) fileOrStored(ctx context.Context, name string) (*bundle.Bundle, string, error) {
	var content []byte
	hash := name
	_, err := os.Stat(name)
	if err != nil && isHash(name) {
		content, err = a.stored(ctx, name)
	} else {
		content, hash, err = canonicalFile(name)
	}
	if err != nil {
		return nil, "", err
	}
	b, err := bundle.Parse(content)
	return b, hash, err
}

func isHash(name string) bool {
	raw, err := hex.DecodeString(name)
	return err == nil && len(raw) == sha256.Size
}

// historyCommand is "hbctl history".
type historyCommand struct {
	command
	JSON bool `long:"json" description:"print JSON"`
}

func (h *historyCommand) print(ctx context.Context, _ []string) error {
	entries, err := h.app.store.History(ctx)
	if err != nil {
		return err
	}
	if h.JSON {
		return json.NewEncoder(h.app.stdout).Encode(entries)
	}
	w := tabwriter.NewWriter(h.app.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "GENERATION\tSTATE\tAUTHOR\tAPPROVER\tAPPROVED\tSHA256")
	for _, e := range entries {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\n", e.Generation, e.State, e.Author, dash(e.Approver), formatUnix(e.ApprovedUnixMS), e.SHA256)
	}
	return w.Flush()
}
