#include <glog/logging.h>

#include <csignal>
#include <exception>
#include <iostream>
#include <memory>
#include <string>

#include "fakes/fake_http_server.h"

namespace acaciaspring::fakes {

namespace {

namespace po = boost::program_options;

int Run(const net::Address& listen,
        const std::function<std::shared_ptr<void>(net::Loop& loop, const net::Address& listen)>&
            start) {
  net::Loop loop;
  for (const int signal_number : {SIGTERM, SIGINT}) {
    loop.OnSignal(signal_number, [&loop, signal_number] {
      LOG(INFO) << "stopping on signal " << signal_number;
      loop.Stop();
    });
  }
  const std::shared_ptr<void> fake = start(loop, listen);
  LOG(INFO) << "listening on " << listen.ToString();
  loop.Run();
  return 0;
}

}  // namespace

int RunFake(int argc,
            char** argv,
            po::options_description options,
            const std::function<std::shared_ptr<void>(net::Loop& loop, const net::Address& listen)>&
                start) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  std::string listen;
  options.add_options()("help", "print this text")("listen", po::value(&listen)->required(),
                                                   "address to listen on, ip:port");
  try {
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, options), values);
    if (values.contains("help")) {
      std::cout << options;
      return 0;
    }
    po::notify(values);
    return Run(net::ParseAddress(listen), start);
  } catch (const po::error& error) {
    LOG(ERROR) << "invalid arguments: " << error.what();
  } catch (const Error& error) {
    LOG(ERROR) << "cannot start: " << error.what();
  }
  return 2;
}

}  // namespace acaciaspring::fakes
