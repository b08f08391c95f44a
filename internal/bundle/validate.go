package bundle

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"heatherbarrow/internal/settings"
)

// maxTotalShare bounds the sum of all classes' guaranteed shares, so that at
// least half of every upstream stays under strict priority.
const maxTotalShare = 0.5

const (
	defaultMaxBodyBytes   = 4 << 20
	defaultBodyTimeout    = 10 * time.Second
	defaultFrameTimeout   = 5 * time.Second
	defaultClaimWait      = 2 * time.Second
	defaultClaimRetention = 24 * time.Hour
	defaultQuarantineTime = time.Hour
	defaultPoisonCrashes  = 2
)

func (l *Limits) setDefaults() {
	if l.MaxBodyBytes == 0 {
		l.MaxBodyBytes = defaultMaxBodyBytes
	}
	setDefault(&l.BodyTimeout, defaultBodyTimeout)
	setDefault(&l.FrameTimeout, defaultFrameTimeout)
	setDefault(&l.ClaimWait, defaultClaimWait)
	setDefault(&l.ClaimRetention, defaultClaimRetention)
	setDefault(&l.QuarantineTime, defaultQuarantineTime)
	if l.PoisonCrashes == 0 {
		l.PoisonCrashes = defaultPoisonCrashes
	}
}

func setDefault(d *settings.Duration, value time.Duration) {
	if *d == 0 {
		*d = settings.Duration(value)
	}
}

// Validate implements settings.Validator.
func (b *Bundle) Validate() error {
	if b.Format != Format {
		return settings.Errorf("format", "is %d, this version reads %d", b.Format, Format)
	}
	v := validator{
		classes:   make(map[string]bool),
		teams:     make(map[string]bool),
		upstreams: make(map[string]Kind),
		keys:      make(map[string]string),
	}
	if err := v.checkClasses(b.Classes); err != nil {
		return err
	}
	if err := v.checkTeams(b.Teams); err != nil {
		return err
	}
	if err := v.checkUpstreams(b.Upstreams); err != nil {
		return err
	}
	if err := v.checkRoutes(b.Routes); err != nil {
		return err
	}
	return b.Limits.validate()
}

type validator struct {
	classes   map[string]bool
	teams     map[string]bool
	upstreams map[string]Kind
	keys      map[string]string // key hash to path of the team that has it
}

func (v *validator) checkClasses(classes []Class) error {
	if len(classes) == 0 {
		return settings.Errorf("classes", "must have at least one class")
	}
	total := 0.0
	for i := range classes {
		path := fmt.Sprintf("classes[%d]", i)
		if err := checkName(path+".name", classes[i].Name, v.classes); err != nil {
			return err
		}
		if err := classes[i].validate(path); err != nil {
			return err
		}
		total += classes[i].Share
	}
	if total > maxTotalShare {
		return settings.Errorf("classes", "the shares add up to %.2f, at most %.2f is allowed", total, maxTotalShare)
	}
	return nil
}

func (c *Class) validate(path string) error {
	switch {
	case c.Tier < TopTier || c.Tier > MaxTier:
		return settings.Errorf(path+".tier", "is %d, must be %d to %d", c.Tier, TopTier, MaxTier)
	case c.FirstTokenTarget < 0 || c.InterTokenTarget < 0 || c.AnswerTarget < 0:
		return settings.Errorf(path, "a latency target must not be negative")
	case c.FirstTokenTarget == 0 && c.AnswerTarget == 0:
		return settings.Errorf(path, "needs first_token_target or answer_target")
	case c.Deadline <= 0:
		return settings.Errorf(path+".deadline", "must be positive")
	case c.Deadline < c.AnswerTarget || c.Deadline < c.FirstTokenTarget:
		return settings.Errorf(path+".deadline", "is shorter than the class's latency target")
	case c.Share < 0 || c.Share > maxTotalShare:
		return settings.Errorf(path+".share", "is %g, must be 0 to %g", c.Share, maxTotalShare)
	case c.MaxQueue < 0:
		return settings.Errorf(path+".max_queue", "must not be negative")
	case c.RetryBudget < 0 || c.RetryBudget > 1:
		return settings.Errorf(path+".retry_budget", "is %g, must be 0 to 1", c.RetryBudget)
	case c.ExpectedTokens < 0:
		return settings.Errorf(path+".expected_tokens", "must not be negative")
	case c.Preemptible && c.Tier == TopTier:
		return settings.Errorf(path+".preemptible", "a class of tier 1 cannot be preempted")
	}
	return nil
}

func (v *validator) checkTeams(teams []Team) error {
	for i := range teams {
		t := &teams[i]
		path := fmt.Sprintf("teams[%d]", i)
		if err := checkName(path+".name", t.Name, v.teams); err != nil {
			return err
		}
		if err := v.checkKeys(path, t.KeyHashes); err != nil {
			return err
		}
		if err := v.checkClassNames(path+".classes", t.Classes); err != nil {
			return err
		}
		if t.TokensPerSecond <= 0 {
			return settings.Errorf(path+".tokens_per_second", "must be positive")
		}
		if t.MaxInProgress <= 0 {
			return settings.Errorf(path+".max_in_progress", "must be positive")
		}
		for zone, weight := range t.ZoneWeights {
			if weight < 0 {
				return settings.Errorf(path+".zone_weights."+zone, "must not be negative")
			}
		}
	}
	return nil
}

func (v *validator) checkKeys(path string, hashes []string) error {
	if len(hashes) == 0 {
		return settings.Errorf(path+".key_hashes", "must have at least one key")
	}
	for j, hash := range hashes {
		keyPath := fmt.Sprintf("%s.key_hashes[%d]", path, j)
		raw, err := hex.DecodeString(hash)
		if err != nil || len(raw) != 32 || hash != strings.ToLower(hash) {
			return settings.Errorf(keyPath, "must be a SHA-256 in lower-case hex")
		}
		if other, taken := v.keys[hash]; taken {
			return settings.Errorf(keyPath, "is also a key of %s", other)
		}
		v.keys[hash] = path
	}
	return nil
}

func (v *validator) checkClassNames(path string, names []string) error {
	if len(names) == 0 {
		return settings.Errorf(path, "must name at least one class")
	}
	for j, name := range names {
		if !v.classes[name] {
			return settings.Errorf(fmt.Sprintf("%s[%d]", path, j), "no class is named %q", name)
		}
	}
	return nil
}

func (v *validator) checkUpstreams(upstreams []Upstream) error {
	if len(upstreams) == 0 {
		return settings.Errorf("upstreams", "must have at least one upstream")
	}
	names := make(map[string]bool)
	for i := range upstreams {
		u := &upstreams[i]
		path := fmt.Sprintf("upstreams[%d]", i)
		if err := checkName(path+".name", u.Name, names); err != nil {
			return err
		}
		if err := u.validate(path); err != nil {
			return err
		}
		if err := v.checkClassNames(path+".classes", u.Classes); err != nil {
			return err
		}
		v.upstreams[u.Name] = u.Kind
	}
	return nil
}

func (u *Upstream) validate(path string) error {
	switch {
	case u.Kind != KindEngine && u.Kind != KindService:
		return settings.Errorf(path+".kind", "is %q, must be %q or %q", u.Kind, KindEngine, KindService)
	case u.Kind == KindEngine && len(u.Models) == 0:
		return settings.Errorf(path+".models", "an engine must serve at least one model")
	case len(u.Models) > MaxModels:
		return settings.Errorf(path+".models", "has %d models, at most %d are allowed", len(u.Models), MaxModels)
	case u.Kind == KindService && len(u.Models) > 0:
		return settings.Errorf(path+".models", "a service serves no models")
	case u.Kind == KindService && (u.Resumable || u.ChecksFencing):
		return settings.Errorf(path, "resumable and checks_fencing apply to engines only")
	case u.Slots <= 0:
		return settings.Errorf(path+".slots", "must be positive")
	}
	ids := make(map[string]bool)
	for j := range u.Replicas {
		r := &u.Replicas[j]
		replicaPath := fmt.Sprintf("%s.replicas[%d]", path, j)
		if err := checkName(replicaPath+".id", r.ID, ids); err != nil {
			return err
		}
		if _, err := netip.ParseAddrPort(r.Address); err != nil {
			return settings.Errorf(replicaPath+".address", "%q is not an IP address with a port", r.Address)
		}
		if r.AvailabilityZone == "" {
			return settings.Errorf(replicaPath+".availability_zone", "must not be empty")
		}
		if err := r.validatePlacement(replicaPath, u); err != nil {
			return err
		}
	}
	return nil
}

// validatePlacement checks what the bundle asks of placement for one replica.
func (r *Replica) validatePlacement(path string, u *Upstream) error {
	if u.Kind != KindEngine && (r.Role != "" || len(r.PinnedModels) > 0) {
		return settings.Errorf(path, "role and pinned_models apply to engines only")
	}
	if r.Role != "" && !slices.Contains(Roles, r.Role) {
		return settings.Errorf(path+".role", "is %q, must be one of %s", r.Role, strings.Join(Roles, ", "))
	}
	for k, model := range r.PinnedModels {
		pinPath := fmt.Sprintf("%s.pinned_models[%d]", path, k)
		if !slices.Contains(u.Models, model) {
			return settings.Errorf(pinPath, "%q is no model of the upstream", model)
		}
		if slices.Index(r.PinnedModels, model) < k {
			return settings.Errorf(pinPath, "repeats %q", model)
		}
	}
	return nil
}

func (v *validator) checkRoutes(routes []Route) error {
	seen := make(map[string]bool)
	for i := range routes {
		r := &routes[i]
		path := fmt.Sprintf("routes[%d]", i)
		kind, ok := v.upstreams[r.Upstream]
		switch {
		case !ok:
			return settings.Errorf(path+".upstream", "no upstream is named %q", r.Upstream)
		case kind != KindService:
			return settings.Errorf(path+".upstream", "%q is not a service", r.Upstream)
		case r.Method == "" || r.Method != strings.ToUpper(r.Method):
			return settings.Errorf(path+".method", "must be an HTTP method in upper case")
		case !strings.HasPrefix(r.PathPrefix, "/"):
			return settings.Errorf(path+".path_prefix", "must begin with a slash")
		case r.Timeout <= 0:
			return settings.Errorf(path+".timeout", "must be positive")
		}
		key := r.Upstream + " " + r.Method + " " + r.PathPrefix
		if seen[key] {
			return settings.Errorf(path, "repeats an earlier route")
		}
		seen[key] = true
	}
	return nil
}

func (l *Limits) validate() error {
	limits := []struct {
		name  string
		value int64
	}{
		{"max_body_bytes", l.MaxBodyBytes},
		{"body_timeout", int64(l.BodyTimeout)},
		{"frame_timeout", int64(l.FrameTimeout)},
		{"claim_wait", int64(l.ClaimWait)},
		{"claim_retention", int64(l.ClaimRetention)},
		{"quarantine_time", int64(l.QuarantineTime)},
		{"poison_crashes", int64(l.PoisonCrashes)},
	}
	for _, limit := range limits {
		if limit.value < 0 {
			return settings.Errorf("limits."+limit.name, "must not be negative")
		}
	}
	return nil
}

func checkName(path, name string, seen map[string]bool) error {
	if name == "" {
		return settings.Errorf(path, "must not be empty")
	}
	for _, r := range name {
		if (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' && r != '_' && r != '.' {
			return settings.Errorf(path, "%q may only have the characters a-z, 0-9, '-', '_' and '.'", name)
		}
	}
	if seen[name] {
		return settings.Errorf(path, "%q appears twice", name)
	}
	seen[name] = true
	return nil
}
