package hbctl

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// printDuties prints the duties that one host at a time performs for all, if the deployment has any. Values that a host does
// not know are shown as "-".
func printDuties(w io.Writer, statuses []gatewayStatus) {
	if !slices.ContainsFunc(statuses, func(s gatewayStatus) bool { return s.response.GetDuties() != nil }) {
		return
	}
	fmt.Fprintln(w, "\nHOST\tDUTIES\tHOLDER\tTOKEN\tHELD SINCE\tWINDOW FIXED\tWINDOW ACCEPTED")
	for _, s := range statuses {
		d := s.response.GetDuties()
		if d == nil {
			continue
		}
		since := "-"
		if d.HeldSince != 0 {
			since = time.UnixMilli(d.HeldSince).UTC().Format(time.RFC3339)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", s.response.Host, cmp.Or(strings.Join(d.Names, ","), "-"), cmp.Or(d.Holder, "-"),
			known(d.FencingToken), since, known(d.WindowFixed), known(d.WindowAccepted))
	}
	fmt.Fprintln(w, "\nHOST\tORDERS REPLICAS OF\tZONE\tKIND\tWANTED\tREGISTERED")
	for _, s := range statuses {
		for _, o := range s.response.GetDuties().GetOrders() {
			kind, wanted := "on demand", "-"
			if o.Spot {
				kind = "spot"
			}
			if o.Ordered {
				wanted = fmt.Sprint(o.Wanted)
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\n", s.response.Host, o.Upstream, o.AvailabilityZone, kind, wanted, o.Registered)
		}
	}
}

// known returns a number, or "-" for 0, which stands for one that is not known.
func known[T int64 | uint64](n T) string {
	if n == 0 {
		return "-"
	}
	return fmt.Sprint(n)
}
