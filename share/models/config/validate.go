package config

import (
	"encoding/hex"
	"fmt"
	"math"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"time"

	"k8s.io/apimachinery/pkg/labels"
	"k8s.io/apimachinery/pkg/util/validation"
)

const (
	maxStages     = 8
	maxDeadline   = time.Hour
	minWeight     = 0.01
	maxWeight     = 1000
	maxRuleWeight = 100
	maxStageLimit = 1 << 20
	maxTeamTokens = 4
	digestLength  = 64
	limitsName    = "deployment"
)

// validator collects the problems of one set.
type validator struct {
	set         *Set
	services    map[string]*Service
	pools       map[string]bool
	namePattern *regexp.Regexp
	// kind and name identify the document that is being checked.
	kind     Kind
	name     string
	problems []Problem
}

// Validate returns all problems of a complete configuration.
func Validate(set Set) []Problem {
	v := &validator{
		set:         &set,
		services:    map[string]*Service{},
		pools:       map[string]bool{},
		namePattern: regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`),
	}
	for i := range set.Services {
		v.services[set.Services[i].Name] = &set.Services[i]
	}
	for _, p := range set.Pools {
		v.pools[p.Name] = true
	}
	for _, kind := range Kinds() {
		v.checkNames(kind)
	}
	v.checkTeams()
	v.checkPipelines()
	v.checkServices()
	v.checkRules()
	v.checkPools()
	v.checkOperators()
	v.checkLimits()
	return v.problems
}

// reportf adds a problem of the current document.
func (v *validator) reportf(field, format string, args ...any) {
	v.problems = append(v.problems, Problem{Kind: v.kind, Name: v.name, Field: field, Detail: fmt.Sprintf(format, args...)})
}

// setDocument sets the document that reportf refers to.
func (v *validator) setDocument(kind Kind, name string) {
	v.kind = kind
	v.name = name
}

func (v *validator) checkNames(kind Kind) {
	seen := map[string]bool{}
	for _, d := range v.set.list(kind) {
		v.setDocument(kind, d.name)
		if !v.namePattern.MatchString(d.name) {
			v.reportf("name", "want 1 to 63 lower-case letters, digits and inner hyphens")
		}
		if seen[d.name] {
			v.reportf("name", "stands twice")
		}
		seen[d.name] = true
	}
}

func (v *validator) checkRange(field string, value, minimum, maximum float64) {
	if math.IsNaN(value) || value < minimum || value > maximum {
		v.reportf(field, "%v is out of range: want %v to %v", value, minimum, maximum)
	}
}

func (v *validator) checkDeadline(field string, d Duration) {
	if d.Value() <= 0 || d.Value() > maxDeadline {
		v.reportf(field, "%s is out of range: want more than 0s, at most %s", d.Value(), maxDeadline)
	}
}

func (v *validator) checkPriority(field string, p Priority) {
	if !slices.Contains([]Priority{PriorityUrgent, PriorityNormal, PriorityBatch}, p) {
		v.reportf(field, "%q is none of urgent, normal, batch", p)
	}
}

func (v *validator) checkDigest(field, digest string) {
	_, err := hex.DecodeString(digest)
	if err != nil || len(digest) != digestLength || digest != strings.ToLower(digest) {
		v.reportf(field, "want the SHA-256 of the token as %d lower-case hex digits", digestLength)
	}
}

func (v *validator) checkLabels(prefix string, l Labels) {
	for key, value := range l {
		messages := validation.IsQualifiedName(key)
		messages = append(messages, validation.IsValidLabelValue(value)...)
		for _, message := range messages {
			v.reportf(prefix+"."+key, "%s", message)
		}
	}
}

func (v *validator) checkTeams() {
	owners := map[string]string{}
	for i := range v.set.Teams {
		t := &v.set.Teams[i]
		v.setDocument(KindTeam, t.Name)
		if len(t.TokenSHA256) == 0 || len(t.TokenSHA256) > maxTeamTokens {
			v.reportf("token-sha256", "want 1 to %d digests", maxTeamTokens)
		}
		for _, digest := range t.TokenSHA256 {
			v.checkDigest("token-sha256", digest)
			if owner, taken := owners[digest]; taken {
				v.reportf("token-sha256", "the digest stands already in team %s", owner)
			}
			owners[digest] = t.Name
		}
		v.checkPriority("priority", t.Priority)
		v.checkRange("weight", t.Weight, minWeight, maxWeight)
		v.checkRange("rate", t.Rate, 0, math.MaxFloat32)
		if t.Rate > 0 {
			v.checkRange("burst", t.Burst, t.Rate, math.MaxFloat32)
		}
		v.checkLabels("labels", t.Labels)
	}
}

func (v *validator) checkPipelines() {
	for i := range v.set.Pipelines {
		p := &v.set.Pipelines[i]
		v.setDocument(KindPipeline, p.Name)
		v.checkDeadline("deadline", p.Deadline)
		if len(p.Stages) == 0 || len(p.Stages) > maxStages {
			v.reportf("stage", "has %d stages: want 1 to %d", len(p.Stages), maxStages)
		}
		seen := map[string]bool{}
		for j := range p.Stages {
			v.checkStage(fmt.Sprintf("stage[%d]", j), &p.Stages[j], seen)
		}
	}
}

func (v *validator) checkStage(prefix string, s *Stage, seen map[string]bool) {
	if !v.namePattern.MatchString(s.Name) {
		v.reportf(prefix+".name", "%q: want 1 to 63 lower-case letters, digits and inner hyphens", s.Name)
	}
	if seen[s.Name] {
		v.reportf(prefix+".name", "%s stands twice in the pipeline", s.Name)
	}
	seen[s.Name] = true
	v.checkRange(prefix+".limit", float64(s.Limit), 0, maxStageLimit)
	v.checkLabels(prefix+".labels", s.Labels)
	want, known := requiredServiceKind(s.Kind)
	if !known {
		v.reportf(prefix+".kind", "%q is none of encode, retrieve, rerank, generate", s.Kind)
	}
	service := v.services[s.Service]
	if service == nil {
		v.reportf(prefix+".service", "no service %q", s.Service)
		return
	}
	if known && service.Kind != want {
		v.reportf(prefix+".service", "a stage of kind %s needs a service of kind %s; %s is of kind %s", s.Kind, want, s.Service, service.Kind)
	}
}

// requiredServiceKind returns the kind of service that runs stages of the given kind.
func requiredServiceKind(kind StageKind) (service ServiceKind, known bool) {
	switch kind {
	case StageGenerate:
		return ServiceEngine, true
	case StageEncode, StageRetrieve, StageRerank:
		return ServicePool, true
	default:
		return "", false
	}
}

func (v *validator) checkServices() {
	for i := range v.set.Services {
		s := &v.set.Services[i]
		v.setDocument(KindService, s.Name)
		if !slices.Contains([]ServiceKind{ServiceEngine, ServicePool, ServicePlain}, s.Kind) {
			v.reportf("kind", "%q is none of engine, pool, plain", s.Kind)
		}
		v.checkDeadline("deadline", s.Deadline)
		v.checkRange("retry-share", s.RetryShare, 0, 1)
		if s.Pool != "" && !v.pools[s.Pool] {
			v.reportf("pool", "no pool %q", s.Pool)
		}
		if s.Kind == ServicePlain && len(s.Routes) == 0 {
			v.reportf("route", "a plain service needs a route")
		}
		seen := map[string]bool{}
		for j, r := range s.Routes {
			v.checkRoute(fmt.Sprintf("route[%d]", j), r, seen)
		}
	}
}

func (v *validator) checkRoute(prefix string, r ServiceRoute, seen map[string]bool) {
	methods := []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete}
	if !slices.Contains(methods, r.Method) {
		v.reportf(prefix+".method", "%q is no method that can be routed", r.Method)
	}
	if !strings.HasPrefix(r.Path, "/") || strings.ContainsAny(r.Path, "?# ") {
		v.reportf(prefix+".path", "%q: want a path that begins with /", r.Path)
	}
	key := r.Method + " " + r.Path
	if seen[key] {
		v.reportf(prefix+".path", "%s stands twice", key)
	}
	seen[key] = true
}

func (v *validator) checkRules() {
	for i := range v.set.Rules {
		r := &v.set.Rules[i]
		v.setDocument(KindRule, r.Name)
		v.checkSelector("caller", r.Caller)
		v.checkSelector("stage", r.Stage)
		v.checkSelector("server", r.Server)
		switch r.Effect {
		case EffectPrefer:
			v.checkRange("weight", float64(r.Weight), 1, maxRuleWeight)
		case EffectRequire, EffectForbid:
			if r.Weight != 0 {
				v.reportf("weight", "counts only for the effect prefer")
			}
		default:
			v.reportf("effect", "%q is none of require, prefer, forbid", r.Effect)
		}
		if r.Effect == EffectForbid && r.Caller == "" && r.Stage == "" && r.Server == "" {
			v.reportf("server", "forbids every backend server to everyone")
		}
	}
}

func (v *validator) checkSelector(field, selector string) {
	_, err := labels.Parse(selector)
	if err != nil {
		v.reportf(field, "selector %q: %s", selector, err)
	}
}

func (v *validator) checkPools() {
	for i := range v.set.Pools {
		p := &v.set.Pools[i]
		v.setDocument(KindPool, p.Name)
		v.checkRange("committed", p.Committed, 0, math.MaxFloat32)
		v.checkRange("price", p.Price, 0, math.MaxFloat32)
		v.checkRange("beyond-price", p.BeyondPrice, 0, math.MaxFloat32)
		v.checkPriority("beyond-priority", p.BeyondPriority)
	}
}

func (v *validator) checkOperators() {
	owners := map[string]string{}
	withChangeRole := 0
	for i := range v.set.Operators {
		o := &v.set.Operators[i]
		v.setDocument(KindOperator, o.Name)
		v.checkDigest("token-sha256", o.TokenSHA256)
		if owner, taken := owners[o.TokenSHA256]; taken {
			v.reportf("token-sha256", "the digest stands already in operator %s", owner)
		}
		owners[o.TokenSHA256] = o.Name
		switch o.Role {
		case RoleChange:
			withChangeRole++
		case RoleRead:
		default:
			v.reportf("role", "%q is none of read, change", o.Role)
		}
	}
	if withChangeRole == 0 {
		// Without this check a change could permanently lock out all operators.
		v.setDocument(KindOperator, "")
		v.reportf("role", "no operator has the role change")
	}
}

func (v *validator) checkLimits() {
	for i := range v.set.Limits {
		l := &v.set.Limits[i]
		v.setDocument(KindLimits, l.Name)
		if l.Name != limitsName {
			v.reportf("name", "want %s", limitsName)
		}
		if l.StaleAfter < 0 {
			v.reportf("stale-after", "is negative")
		}
		if l.ClaimRetention.Value() < time.Minute {
			v.reportf("claim-retention", "%s is too short: want 1m or more", l.ClaimRetention.Value())
		}
		v.checkRegions(l.RegionOrder)
	}
}

func (v *validator) checkRegions(order map[string][]string) {
	for region, others := range order {
		seen := map[string]bool{region: true}
		for _, other := range others {
			if seen[other] {
				v.reportf("region-order."+region, "%s stands twice or is the region itself", other)
			}
			seen[other] = true
		}
	}
}
