package upstream

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a stream with a length that counts as complete although it broke off, because the body tells of that only once and
// the reader looked for the rest of a line end then.
func TestStreamWithLengthThatBreaksOffBehindCRIsNotComplete(t *testing.T) {
	const sent = "id: 1\rdata: a\r\r"
	response, err := http.ReadResponse(bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n"+sent)), nil)
	require.NoError(t, err)
	events := NewEventReader(response.Body, nil)
	_, err = events.Next()
	require.NoError(t, err)
	_, err = events.Next()
	assert.NotErrorIs(t, err, io.EOF)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}
