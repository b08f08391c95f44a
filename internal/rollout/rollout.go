// Package rollout keeps bundles, proposals and the version in force as objects
// of the platform, and checks the operators' signatures.
package rollout

import (
	"context"
	"crypto/ed25519"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/objectstore"
)

// Kinds and names of the platform's objects.
const (
	KindContent  = "bundle"
	KindProposal = "bundle-proposal"
	KindCurrent  = "bundle-current"
	NameCurrent  = "current"
)

// Errors of a rollout.
var (
	ErrUnknownOperator = errors.New("operator is not known")
	ErrSameOperator    = errors.New("the approver must differ from the author")
	ErrBadSignature    = errors.New("signature does not match")
	ErrBadContent      = errors.New("content does not match its hash")
	ErrNoContent       = errors.New("the proposal's content was removed; propose it again")
	ErrNotApproved     = errors.New("proposal is not approved")
	ErrStale           = errors.New("another bundle came into force since the proposal")
	ErrProposed        = errors.New("another operator has proposed this content")
	ErrUnresolved      = errors.New("the result is not known; run the command again")
)

// writeAttempts bounds how often a write is repeated after a lost answer or a
// conflict. Each attempt reads first, so that repeating is safe.
const writeAttempts = 4

// Current is the value of the object that names the bundle in force. It is also
// the value of a proposal; a proposal without approval has no Approver.
type Current struct {
	Generation        uint64 `json:"generation"` // 1 for the first bundle
	SHA256            string `json:"sha256"`
	Author            string `json:"author"`
	AuthorSignature   []byte `json:"author_signature"`
	Approver          string `json:"approver,omitempty"`
	ApproverSignature []byte `json:"approver_signature,omitempty"`
	ApprovedUnixMS    int64  `json:"approved_unix_ms,omitempty"`
	// Base is the hash of the bundle in force when the proposal was made. It is
	// not signed; it serves to show what changed since.
	Base string `json:"base,omitempty"`
}

// signedText is what both operators sign: the generation and the content.
func signedText(generation uint64, sha256 string, role string) []byte {
	text := []byte("heatherbarrow bundle " + role + " ")
	text = binary.BigEndian.AppendUint64(text, generation)
	return append(text, sha256...)
}

const (
	roleAuthor   = "author"
	roleApprover = "approver"
)

// Operators are the public keys that a program trusts, by operator's name.
type Operators map[string]ed25519.PublicKey

// ParseOperators reads keys in hex.
func ParseOperators(keys map[string]string) (Operators, error) {
	out := make(Operators, len(keys))
	for name, text := range keys {
		raw, err := hex.DecodeString(text)
		if err != nil || len(raw) != ed25519.PublicKeySize {
			return nil, eris.Errorf("key of operator %q is not an Ed25519 public key in hex", name)
		}
		out[name] = raw
	}
	return out, nil
}

func (o Operators) verify(name string, signature, text []byte) error {
	key, ok := o[name]
	if !ok {
		return eris.Wrap(ErrUnknownOperator, name)
	}
	if !ed25519.Verify(key, text, signature) {
		return eris.Wrap(ErrBadSignature, name)
	}
	return nil
}

// VerifyAuthor checks a proposal's author.
func (o Operators) VerifyAuthor(c *Current) error {
	return o.verify(c.Author, c.AuthorSignature, signedText(c.Generation, c.SHA256, roleAuthor))
}

// Verify checks author, approver and content of a bundle that is to come into
// force, from whatever source it came.
func (o Operators) Verify(c *Current, content []byte) error {
	if bundle.Hash(content) != c.SHA256 {
		return ErrBadContent
	}
	if c.Approver == "" {
		return ErrNotApproved
	}
	if c.Approver == c.Author {
		return ErrSameOperator
	}
	if err := o.VerifyAuthor(c); err != nil {
		return err
	}
	return o.verify(c.Approver, c.ApproverSignature, signedText(c.Generation, c.SHA256, roleApprover))
}

// SignAuthor signs as author.
func (c *Current) SignAuthor(name string, key ed25519.PrivateKey) {
	c.Author = name
	c.AuthorSignature = ed25519.Sign(key, signedText(c.Generation, c.SHA256, roleAuthor))
}

// SignApprover signs as approver.
func (c *Current) SignApprover(name string, key ed25519.PrivateKey, now time.Time) {
	c.Approver = name
	c.ApproverSignature = ed25519.Sign(key, signedText(c.Generation, c.SHA256, roleApprover))
	c.ApprovedUnixMS = now.UnixMilli()
}

// Store reads and writes the platform's objects.
type Store struct {
	Platform  *objectstore.Client
	Operators Operators
}

// contentValue wraps canonical JSON, whose bytes must survive unchanged. It is
// compressed, because the content of 7,100 teams exceeds the platform's 1 MB.
type contentValue struct {
	ContentGzip []byte `json:"content_gzip"`
}

// Current returns the bundle in force and the version of its object.
// objectstore.ErrNotFound means that there is none yet.
func (s *Store) Current(ctx context.Context) (Current, uint64, error) {
	o, err := s.Platform.Get(ctx, KindCurrent, NameCurrent)
	if err != nil {
		return Current{}, 0, err
	}
	c, err := DecodeCurrent(o)
	return c, o.Version, err
}

// Content returns the canonical JSON with the given hash.
func (s *Store) Content(ctx context.Context, sha256 string) ([]byte, error) {
	o, err := s.Platform.Get(ctx, KindContent, sha256)
	if err != nil {
		return nil, err
	}
	var v contentValue
	if err := decode(o, &v); err != nil {
		return nil, err
	}
	content, err := Decompress(v.ContentGzip)
	if err != nil || bundle.Hash(content) != sha256 {
		return nil, ErrBadContent
	}
	return content, nil
}
