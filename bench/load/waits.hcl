# A poll of each of 9,000 proxies waits for changes; change something at the list meanwhile.
load {
  director   = "http://127.0.0.1:18080"
  zone       = "a"
  time_limit = "3s"
}
step "wait" {
  kind    = "waits"
  proxies = 9000
  for     = "24s"
}
