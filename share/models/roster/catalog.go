package roster

import (
	"net/netip"
	"strconv"
	"strings"

	"verbenaroad.example/share/models/config"
	"verbenaroad.example/share/models/member"
)

// The keys of ServiceMeta.
const (
	metaRole    = "role"
	metaService = "service"
	metaRegion  = "region"
	metaDomain  = "domain"
	metaLeaving = "leaving"
	metaLabel   = "label-"
)

// catalogNode is one element of the catalog's response. Its field names are those of the API.
type catalogNode struct {
	Node           string
	Address        string
	ServiceID      string
	ServiceName    string
	ServiceAddress string
	ServicePort    uint16
	ServiceMeta    map[string]string
}

type registration struct {
	Node    string
	Address string
	Service registeredService
}

type registeredService struct {
	ID      string
	Service string
	Address string
	Port    uint16
	Meta    map[string]string
}

type deregistration struct {
	Node      string
	ServiceID string
}

func (n catalogNode) toInstance() (member.Instance, error) {
	address := n.ServiceAddress
	if address == "" {
		address = n.Address
	}
	ip, err := netip.ParseAddr(address)
	if err != nil {
		return member.Instance{}, ErrRoster.New("instance %s has an invalid address: %v", n.ServiceID, err)
	}
	instance := member.Instance{
		Name:    n.ServiceID,
		Role:    member.Role(n.ServiceMeta[metaRole]),
		Service: n.ServiceMeta[metaService],
		Region:  n.ServiceMeta[metaRegion],
		Domain:  n.ServiceMeta[metaDomain],
		Address: netip.AddrPortFrom(ip, n.ServicePort),
		Leaving: n.ServiceMeta[metaLeaving] == strconv.FormatBool(true),
	}
	if instance.Role == "" {
		instance.Role = member.Role(n.ServiceName)
	}
	instance.Labels = labelsOf(n.ServiceMeta)
	return instance, nil
}

func labelsOf(meta map[string]string) config.Labels {
	labels := config.Labels{}
	for key, value := range meta {
		if name, found := strings.CutPrefix(key, metaLabel); found {
			labels[name] = value
		}
	}
	return labels
}

func newRegistration(instance member.Instance) registration {
	meta := map[string]string{
		metaRole:    string(instance.Role),
		metaService: instance.Service,
		metaRegion:  instance.Region,
		metaDomain:  instance.Domain,
		metaLeaving: strconv.FormatBool(instance.Leaving),
	}
	for key, value := range instance.Labels {
		meta[metaLabel+key] = value
	}
	address := instance.Address.Addr().String()
	return registration{
		Node:    instance.Name,
		Address: address,
		Service: registeredService{
			ID:      instance.Name,
			Service: string(instance.Role),
			Address: address,
			Port:    instance.Address.Port(),
			Meta:    meta,
		},
	}
}
