// Package httphead checks the heads of HTTP/1 responses.
//
// Package net/http accepts heads that are not valid: a status of "+20" or 000, any status up to 999, and informational responses
// that announce a body. It skips most informational responses, so that bytes behind one are taken for the response.
package httphead

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// ErrInvalid means that a server sent bytes that are not a valid response.
var ErrInvalid = errors.New("invalid response")

const (
	minFinalStatus = 200
	maxStatus      = 599
	statusDigits   = 3
)

// Check returns ErrInvalid if a response that http.ReadResponse has read is not valid: its status is not three digits from 100 to
// 599, or it is informational and either not one of 100, 102 and 103, or announces a body.
func Check(response *http.Response) error {
	final, err := checkStatus(response.Status)
	if err != nil || final {
		return err
	}
	_, hasLength := response.Header["Content-Length"]
	// http.ReadResponse drops the Transfer-Encoding of HTTP/1.0, which has no informational responses.
	if hasLength || len(response.TransferEncoding) > 0 || !response.ProtoAtLeast(1, 1) {
		return fmt.Errorf("%w: informational response announces a body or is of HTTP/1.0", ErrInvalid)
	}
	return nil
}

// IsFinal reports whether a valid final response may have the status.
func IsFinal(status int) bool { return status >= minFinalStatus && status <= maxStatus }

// checkStatus checks the text behind the version in a status line. final reports whether no further response follows.
func checkStatus(text string) (final bool, err error) {
	code, _, _ := strings.Cut(text, " ")
	if len(code) != statusDigits {
		return false, invalidStatus(code)
	}
	status := 0
	for _, digit := range []byte(code) {
		if digit < '0' || digit > '9' {
			return false, invalidStatus(code)
		}
		status = status*10 + int(digit-'0')
	}
	switch {
	case IsFinal(status):
		return true, nil
	case status == http.StatusContinue, status == http.StatusProcessing, status == http.StatusEarlyHints:
		return false, nil
	}
	return false, invalidStatus(code)
}

func invalidStatus(code string) error {
	const shown = 20 // bytes of the status in the error
	return fmt.Errorf("%w: status %q", ErrInvalid, code[:min(len(code), shown)])
}
