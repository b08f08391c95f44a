package netio

import "bytes"

// HeadLineBytes is the memory that a header line occupies beside its text.
const HeadLineBytes = 128

// HeadBytes returns the memory that the head at the beginning of received bytes occupies while it is read. All of the bytes
// count if the head does not end within them.
func HeadBytes(received []byte) int {
	const copies = 2 // of each byte
	head, _, _ := bytes.Cut(received, []byte("\n\r\n"))
	return copies*len(head) + HeadLineBytes*bytes.Count(head, []byte{'\n'})
}
