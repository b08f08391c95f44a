//go:build deps

// Package deps keeps modules in go.mod until the packages that need them land.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/Shopify/toxiproxy/v2"
	_ "github.com/Shopify/toxiproxy/v2/toxics"
	_ "github.com/ThreeDotsLabs/watermill"
	_ "github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/go-chi/chi/v5"
	_ "github.com/hashicorp/golang-lru/v2"
	_ "github.com/hashicorp/golang-lru/v2/expirable"
	_ "github.com/jessevdk/go-flags"
	_ "github.com/jonboulle/clockwork"
	_ "github.com/rotisserie/eris"
	_ "github.com/rs/xid"
	_ "github.com/rs/zerolog"
	_ "github.com/stretchr/testify/require"
	_ "github.com/twitchtv/twirp"
	_ "github.com/uber-go/tally/v4"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/sync/singleflight"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg"
	_ "google.golang.org/protobuf/proto"
	_ "pgregory.net/rapid"
)
