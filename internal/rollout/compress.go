package rollout

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/rotisserie/eris"
)

// maxContentBytes bounds decompressed content.
const maxContentBytes = 16 << 20

// Compress returns content in gzip.
func Compress(content []byte) []byte {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	_, _ = w.Write(content)
	_ = w.Close()
	return out.Bytes()
}

// Decompress is the reverse of Compress. ErrBadContent means that the data is
// not gzip or too large.
func Decompress(data []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, eris.Wrap(ErrBadContent, err.Error())
	}
	content, err := io.ReadAll(io.LimitReader(reader, maxContentBytes+1))
	if err != nil {
		return nil, eris.Wrap(ErrBadContent, err.Error())
	}
	if len(content) > maxContentBytes {
		return nil, eris.Wrap(ErrBadContent, "content is too large")
	}
	return content, nil
}
