package demo

// Cache size and latencies of the demo's stand-ins. The cache is smaller than the
// prompts in use, so that blocks are evicted within seconds.
const (
	demoCacheBlocks      = 512
	demoPrefillTokenTime = "100µs"
	demoServiceLatency   = "20ms"
	demoWeightsLoadTime  = "700ms"
)

// fencingIgnoringEngineIndex is the index of the engine that ignores fencing tokens.
const fencingIgnoringEngineIndex = 2

func (l *layout) standInSettings() jsonObject {
	engines, services := []jsonObject{}, []jsonObject{}
	for _, e := range l.endpoints {
		settings := jsonObject{"name": e.Name, "address": l.address(e.port)}
		if e.PlainService {
			services = append(services, settings)
			continue
		}
		if e.index == fencingIgnoringEngineIndex {
			settings["fencing"] = "ignored"
		}
		engines = append(engines, settings)
	}
	return jsonObject{
		"admin":   l.address(l.BasePort + portOffsetStandInAdmin),
		"store":   jsonObject{"address": l.address(l.BasePort + portOffsetStore), "hosts": l.hostList()},
		"weights": jsonObject{"address": l.address(l.BasePort + portOffsetWeights), "limit": l.Deployment.FullSpeedWeightsLoads, "load_time": demoWeightsLoadTime},
		"kvstore": jsonObject{"name": l.Deployment.KVStore, "address": l.address(l.BasePort + portOffsetKVStore)},
		"engine_defaults": jsonObject{
			"model": l.Deployment.Model, "weights_url": l.url(portOffsetWeights),
			"cache_blocks": demoCacheBlocks, "per_prefill_token": demoPrefillTokenTime,
		},
		"engines":          engines,
		"service_defaults": jsonObject{"latency": demoServiceLatency},
		"services":         services,
	}
}

// hostList returns the platform's host list with the gossip address of each process.
func (l *layout) hostList() []jsonObject {
	var list []jsonObject
	add := func(host, zone string, port int) {
		list = append(list, jsonObject{"host": host, "zone": zone, "address": l.address(port), "state": "live"})
	}
	for _, r := range l.routers {
		add(r.host(), r.zone, l.BasePort+portOffsetRouterPeer+r.index)
	}
	for _, e := range l.endpoints {
		add(e.Host, e.Zone, l.BasePort+portOffsetAgentPeer+e.index)
	}
	return list
}

func (r router) host() string { return "e-" + r.name }

// commonSettings returns the settings that routers and agents have in common. The
// gRPC (TCP) and gossip (UDP) servers of a process use the same port number.
func (l *layout) commonSettings(node jsonObject, peerPort, adminPort int) jsonObject {
	node["region"] = l.Deployment.Region
	seedAddresses := []string{}
	for _, r := range l.routers[:min(maxSeedRouters, len(l.routers))] {
		seedAddresses = append(seedAddresses, l.address(l.BasePort+portOffsetRouterPeer+r.index))
	}
	return jsonObject{
		"node":        node,
		"log":         jsonObject{"format": "text"},
		"admin":       jsonObject{"listen": l.address(adminPort)},
		"objectstore": jsonObject{"addresses": []string{l.url(portOffsetStore)}},
		"grpc":        jsonObject{"listen": l.address(peerPort)},
		"gossip":      jsonObject{"listen": l.address(peerPort), "seeds": seedAddresses},
	}
}

func (l *layout) routerSettings(r router) jsonObject {
	node := jsonObject{"id": r.name, "role": "router", "host": r.host(), "zone": r.zone}
	settings := l.commonSettings(node, l.BasePort+portOffsetRouterPeer+r.index, l.BasePort+portOffsetRouterAdmin+r.index)
	settings["caller_api"] = jsonObject{"listen": l.address(l.BasePort + portOffsetRouterCallerAPI + r.index)}
	return settings
}

func (l *layout) agentSettings(e Endpoint) jsonObject {
	node := jsonObject{"id": "agent-" + e.Name, "role": "agent", "host": e.Host, "zone": e.Zone, "endpoint": e.Name}
	settings := l.commonSettings(node, l.BasePort+portOffsetAgentPeer+e.index, l.BasePort+portOffsetAgentAdmin+e.index)
	engine := jsonObject{"url": "http://" + l.address(e.port)}
	if e.PlainService {
		engine["service"] = true
	}
	settings["engine"] = engine
	return settings
}
