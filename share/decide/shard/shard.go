// Package shard divides the backend servers of a pool among queues. If every region has
// enough servers to fill calls, each region has its own queue, held by an ingress in that
// region, so that jobs, calls and results stay in the region. Otherwise one queue covers
// all servers of the pool.
package shard

import (
	"strings"

	"verbenaroad.example/share/models/site"
)

// minRegionServers is the minimum number of servers that every region needs for regional
// queues. With only two servers in a region, calls to one of them too often wait for calls
// to the other.
const minRegionServers = 3

// separator separates the service from the region in a queue name.
const separator = "@"

// QueueName returns the name of the queue of a service in a region. An empty region means
// the queue that covers all regions.
func QueueName(service, region string) string {
	if region == "" {
		return service
	}
	return service + separator + region
}

// ParseQueueName returns the service and the region of a queue name. The region is empty for
// a queue that covers all regions.
func ParseQueueName(queue string) (service, region string) {
	i := strings.LastIndex(queue, separator)
	if i < 0 {
		return queue, ""
	}
	return queue[:i], queue[i+len(separator):]
}

// QueueOf returns the name of the queue of the jobs for the servers of a service in a region.
func QueueOf(service *site.Service, servers []site.Server, regions map[string]string, region string) string {
	if !IsSharded(service, servers, regions) {
		return QueueName(service.Name, "")
	}
	return QueueName(service.Name, region)
}

// GroupByRegion returns the servers of each region; regions maps each failure domain to its
// region. Regions without servers are included, and servers in failure domains without a
// known region are left out.
func GroupByRegion(servers []site.Server, regions map[string]string) map[string][]site.Server {
	groups := map[string][]site.Server{}
	for _, region := range regions {
		groups[region] = nil
	}
	for _, s := range servers {
		if region, known := regions[s.Domain]; known {
			groups[region] = append(groups[region], s)
		}
	}
	return groups
}

// IsSharded reports whether each region has its own queue: there are at least two regions,
// and each has at least minRegionServers servers. A service that also runs engines has one
// queue, since one ingress places all requests at them.
func IsSharded(service *site.Service, servers []site.Server, regions map[string]string) bool {
	if service.Engine != nil {
		return false
	}
	groups := GroupByRegion(servers, regions)
	for _, group := range groups {
		if len(group) < minRegionServers {
			return false
		}
	}
	return len(groups) > 1
}
