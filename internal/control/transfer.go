package control

import (
	"bytes"
	"sync"

	"github.com/rotisserie/eris"

	"heatherbarrow/internal/rollout"
	"heatherbarrow/internal/rpc"
)

// transfer is the bundle in force as it is sent to peers: whole, and as the
// difference to the bundle before. Most changes touch one place, and sending
// the content of 7,100 teams for each of 1,200 changes a day would take a third of
// a node's traffic. Both forms are made when they are first asked for.
type transfer struct {
	base  string // hash of the bundle before; empty when there was none
	whole func() []byte
	delta func() delta
}

// delta is the part of a content that differs from its base.
type delta struct {
	prefix int
	suffix int
	middle []byte // in gzip
}

func newTransfer(record, before *rpc.BundleRecord) *transfer {
	content, base := record.Content, before.GetContent()
	return &transfer{
		base:  before.GetSha256(),
		whole: sync.OnceValue(func() []byte { return rollout.Compress(content) }),
		delta: sync.OnceValue(func() delta { return difference(base, content) }),
	}
}

func difference(base, content []byte) delta {
	limit := min(len(base), len(content))
	prefix := 0
	for prefix < limit && base[prefix] == content[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < limit-prefix && base[len(base)-1-suffix] == content[len(content)-1-suffix] {
		suffix++
	}
	return delta{prefix, suffix, rollout.Compress(content[prefix : len(content)-suffix])}
}

// Transfer returns the bundle in force as it is sent to a peer, or a record with
// the generation alone when the peer does not need the content.
func (s *State) Transfer(request *rpc.BundleRequest) (*rpc.BundleRecord, error) {
	b := s.Bundle
	if b == nil {
		return nil, ErrNoBundle
	}
	if b.Generation <= request.AboveGeneration {
		return versionOnly(b), nil
	}
	record := &rpc.BundleRecord{
		Generation: b.Generation, Sha256: b.Sha256, ApprovedUnixMs: b.ApprovedUnixMs,
		Author: b.Author, AuthorSignature: b.AuthorSignature, Approver: b.Approver, ApproverSignature: b.ApproverSignature,
	}
	if s.transfer.base == "" || s.transfer.base != request.HaveSha256 {
		record.ContentGzip = s.transfer.whole()
		return record, nil
	}
	d := s.transfer.delta()
	record.BaseSha256, record.Prefix, record.Suffix, record.ContentGzip = s.transfer.base, uint64(d.prefix), uint64(d.suffix), d.middle
	return record, nil
}

// Restore returns a transferred bundle with its content, which may build upon the
// bundle that this host has. The content's hash is checked later.
func Restore(b, have *rpc.BundleRecord) (*rpc.BundleRecord, error) {
	content, err := rollout.Decompress(b.ContentGzip)
	if err != nil {
		return nil, eris.Wrap(ErrTransfer, err.Error())
	}
	if b.BaseSha256 != "" {
		base := have.GetContent()
		size := uint64(len(base))
		if b.BaseSha256 != have.GetSha256() || b.Prefix > size || b.Suffix > size-b.Prefix {
			return nil, eris.Wrap(ErrTransfer, "the difference is to another bundle")
		}
		content = bytes.Join([][]byte{base[:b.Prefix], content, base[size-b.Suffix:]}, nil)
	}
	b.Content, b.ContentGzip, b.BaseSha256, b.Prefix, b.Suffix = content, nil, "", 0, 0
	return b, nil
}
