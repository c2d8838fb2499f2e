# Functions that install the required Debian packages and build. Sourced with the repository root as the
# working directory.

readonly PACKAGES="g++ cmake ninja-build ccache clang-format clang-tidy libuv1-dev libh2o-dev libhttp-parser-dev libcereal-dev
  libgoogle-glog-dev libboost-dev libboost-program-options-dev libboost-test-dev libjsoncpp-dev libxxhash-dev
  libtomlplusplus-dev librapidcheck-dev libbenchmark-dev libssl-dev zlib1g-dev curl bc"

# Installs the packages that are missing.
install_packages() {
  local missing=()
  for package in $PACKAGES; do
    dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
  done
  [ ${#missing[@]} -eq 0 ] && return 0
  apt-get update -q >/dev/null
  apt-get install -y -q "${missing[@]}" >/dev/null
}

# Configures and builds. Usage: build BUILD_DIRECTORY [cmake options...]
build() {
  local directory=$1
  shift
  cmake -S . -B "$directory" -G Ninja "$@" >/dev/null
  cmake --build "$directory"
}
