# The director that the figures of docs/standing.md on storms are of: vetchwood run bench/load/director.hcl, beside
# vetchwood roster --listen 127.0.0.1:8599 with hosts registered at it.
director "d1" {
  listen = "127.0.0.1:18080"
  admin  = "127.0.0.1:18081"
  store  = "../../bin/load.db"
  memory = "2GiB"
  zone   = "a"
}
service {
  zones  = ["a"]
  pick   = "lottery"
  slices = 160
  route "read" {
    repeat     = "repeatable"
    importance = 1
    slo        = "1s"
    time_limit = "3s"
  }
}
hosts {
  warm_after  = "1s"
  drain_grace = "2s"
}
proxies {
  most       = 60000
  names      = "relay-[0-9]+"
  lease      = "30s"
  bare_limit = "2s"
}
channel {
  lines_per_second = 5000000
  queue_lines      = 60000000
  head_lines       = 1
  transit          = "1ms"
}
roster {
  consul  = "http://127.0.0.1:8599"
  service = "hosts"
}
poll { kept_versions = 64 }
