package router

import (
	"net/http"
	"strings"
)

const ownHeaderPrefix = "Heatherbarrow-"

// connectionHeaders concern one connection (RFC 9110, section 7.6.1) and are
// never passed on. Content-Length is set anew from the body.
var connectionHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// passedHeader returns the headers of a request or an answer that are passed on
// beside plain services. The router's own headers are not: the outcome is for
// the router to tell.
func passedHeader(header http.Header) http.Header {
	out := header.Clone()
	for _, list := range header["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		out.Del(name)
	}
	for name := range out {
		if strings.HasPrefix(name, ownHeaderPrefix) {
			delete(out, name)
		}
	}
	return out
}
