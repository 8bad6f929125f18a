# Acknowledging polls as fast as they are answered, 32 in hand on each connection.
load {
  director   = "http://127.0.0.1:18080"
  zone       = "a"
  time_limit = "3s"
}
step "join" {
  kind        = "polls"
  flood       = 8
  proxies     = 60000
  connections = 64
  for         = "7s"
}
step "flood" {
  kind        = "polls"
  flood       = 32
  proxies     = 60000
  connections = 64
  for         = "5s"
}
