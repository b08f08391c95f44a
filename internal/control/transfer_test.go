package control

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/rpc"
)

func recordOf(generation uint64, content []byte) *rpc.BundleRecord {
	return &rpc.BundleRecord{Generation: generation, Sha256: bundle.Hash(content), Content: content}
}

// Guards against content that differs after a transfer, whichever bundle the
// receiver has, and against a whole content sent where a difference is enough.
func TestTransferRestoresTheContent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		part := rapid.SliceOfN(rapid.ByteRange('a', 'c'), 0, 20)
		before := recordOf(1, append(part.Draw(t, "head"), part.Draw(t, "tail")...))
		after := recordOf(2, append(part.Draw(t, "new head"), before.Content...))
		s := &State{Bundle: after, transfer: newTransfer(after, before)}
		have := before
		if rapid.Bool().Draw(t, "other") {
			have = recordOf(1, part.Draw(t, "other content"))
		}
		sent, err := s.Transfer(&rpc.BundleRequest{AboveGeneration: 1, HaveSha256: have.Sha256})
		if err != nil {
			t.Fatal(err)
		}
		if (sent.BaseSha256 != "") != (have.Sha256 == before.Sha256) {
			t.Fatalf("base %q for %q", sent.BaseSha256, have.Sha256)
		}
		got, err := Restore(sent, have)
		if err != nil || bundle.Hash(got.Content) != after.Sha256 {
			t.Fatalf("restored %q of %q: %v", got.GetContent(), after.Content, err)
		}
	})
}

// Guards against a peer whose difference reaches outside the base.
func TestRestoreRefusesWrongDifferences(t *testing.T) {
	have := recordOf(1, []byte("abc"))
	s := &State{Bundle: recordOf(2, []byte("abd")), transfer: newTransfer(recordOf(2, []byte("abd")), have)}
	for _, change := range []func(r *rpc.BundleRecord){
		func(r *rpc.BundleRecord) { r.Prefix = 4 },
		func(r *rpc.BundleRecord) { r.Suffix = 2 },
		func(r *rpc.BundleRecord) { r.Suffix = 1 << 63 },
		func(r *rpc.BundleRecord) { r.BaseSha256 = "other" },
		func(r *rpc.BundleRecord) { r.ContentGzip = []byte("not gzip") },
	} {
		sent, err := s.Transfer(&rpc.BundleRequest{AboveGeneration: 1, HaveSha256: have.Sha256})
		require.NoError(t, err)
		change(sent)
		_, err = Restore(sent, have)
		require.ErrorIs(t, err, ErrTransfer)
	}
}
