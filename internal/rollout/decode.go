package rollout

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"heatherbarrow/internal/objectstore"
	"heatherbarrow/internal/rpc"
)

func decode(o objectstore.Object, out any) error {
	if err := json.Unmarshal(o.Value, out); err != nil {
		return eris.Wrapf(err, "decode %s/%s", o.Kind, o.Name)
	}
	return nil
}

// DecodeCurrent reads the value of a current or proposal object.
func DecodeCurrent(o objectstore.Object) (Current, error) {
	var c Current
	err := decode(o, &c)
	return c, err
}

// ToRPC returns the message that carries a bundle between hosts.
func (c *Current) ToRPC(content []byte) *rpc.BundleRecord {
	return &rpc.BundleRecord{
		Generation: c.Generation, Sha256: c.SHA256, Content: content,
		Author: c.Author, AuthorSignature: c.AuthorSignature,
		Approver: c.Approver, ApproverSignature: c.ApproverSignature, ApprovedUnixMs: c.ApprovedUnixMS,
	}
}

// FromRPC is the reverse of ToRPC.
func FromRPC(r *rpc.BundleRecord) (Current, []byte) {
	return Current{
		Generation: r.Generation, SHA256: r.Sha256,
		Author: r.Author, AuthorSignature: r.AuthorSignature,
		Approver: r.Approver, ApproverSignature: r.ApproverSignature, ApprovedUnixMS: r.ApprovedUnixMs,
	}, r.Content
}
