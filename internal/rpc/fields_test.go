package rpc_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/reflect/protoreflect"

	"heatherbarrow/internal/rpc"
)

// fields returns a line for each field of the messages between hosts, and for each method.
func fields() (lines []string) {
	file := rpc.File_gateway_proto
	for i := range file.Messages().Len() {
		m := file.Messages().Get(i)
		for j := range m.Fields().Len() {
			f := m.Fields().Get(j)
			kind := f.Kind().String()
			if f.Kind() == protoreflect.MessageKind {
				kind = string(f.Message().Name())
			}
			lines = append(lines, fmt.Sprintf("%s %d %s %s %s", m.Name(), f.Number(), f.Name(), f.Cardinality(), kind))
		}
	}
	for i := range file.Services().Len() {
		s := file.Services().Get(i)
		for j := range s.Methods().Len() {
			m := s.Methods().Get(j)
			lines = append(lines, fmt.Sprintf("%s %s(%s) %s", s.FullName(), m.Name(), m.Input().Name(), m.Output().Name()))
		}
	}
	return lines
}

// Guards against a field or method that hosts of the build of b6fae82 know and that has gone, or has another number, name or
// type since: such hosts send and read it while a deployment is upgraded, or goes back.
func TestFieldsOfEarlierBuildAreKept(t *testing.T) {
	data, err := os.ReadFile("testdata/fields-b6fae82.txt")
	require.NoError(t, err)
	assert.Subset(t, fields(), strings.Split(strings.TrimSpace(string(data)), "\n"))
}
