# Fakes of the platform services, the load tool and the soak tool.

# Code shared by the fakes and the load tool.
add_library(acaciaspring_answer STATIC fakes/answer.cc fakes/json_text.cc)
target_include_directories(acaciaspring_answer PUBLIC ${CMAKE_SOURCE_DIR})
target_link_libraries(acaciaspring_answer PUBLIC acaciaspring_base PkgConfig::JSONCPP)

# Logic of the fakes without I/O.
add_library(acaciaspring_fake_models STATIC fakes/cache_event_log.cc fakes/engine_batch.cc fakes/engine_orders.cc
  fakes/fault_switches.cc fakes/kv_holds.cc fakes/log_stream.cc fakes/prefix_cache.cc fakes/store_model.cc)
target_link_libraries(acaciaspring_fake_models PUBLIC acaciaspring_answer)

add_library(acaciaspring_fake_service STATIC fakes/close_connection.cc fakes/engine_streams.cc fakes/fake_engine.cc
  fakes/fake_log.cc fakes/fake_store.cc fakes/run_fake.cc fakes/fake_http_server.cc)
target_link_libraries(acaciaspring_fake_service PUBLIC acaciaspring_fake_models acaciaspring_net PkgConfig::GLOG
  Boost::program_options)

acaciaspring_program(fake_log SOURCES fakes/fake_log_main.cc DEPENDS acaciaspring_fake_service)
acaciaspring_program(fake_engine SOURCES fakes/fake_engine_main.cc DEPENDS acaciaspring_fake_service)
acaciaspring_program(fake_tools SOURCES fakes/fake_tools.cc DEPENDS acaciaspring_fake_service)
acaciaspring_program(fake_vms SOURCES fakes/fake_vms.cc DEPENDS acaciaspring_fake_service)
acaciaspring_program(fake_weights SOURCES fakes/fake_weights.cc DEPENDS acaciaspring_fake_service)

add_executable(fakes_test fakes/answer_test.cc fakes/cache_event_log_test.cc fakes/engine_batch_test.cc
  fakes/engine_orders_test.cc fakes/fake_engine_test.cc fakes/fake_log_test.cc fakes/fake_tools_test.cc
  fakes/log_stream_test.cc
  fakes/prefix_cache_test.cc fakes/store_model_test.cc $<TARGET_OBJECTS:test_main>)
target_link_libraries(fakes_test PRIVATE acaciaspring_fake_service Boost::unit_test_framework)
# The contract tests of the store client run against the fake store, those of ledger and gateway against its
# model without I/O.
target_link_libraries(platform_test PRIVATE acaciaspring_fake_service)
target_link_libraries(ledger_test PRIVATE acaciaspring_fake_models)
target_link_libraries(gateway_test PRIVATE acaciaspring_fake_models)
add_test(NAME fakes COMMAND fakes_test --log_level=test_suite)

# The load tool. acaciaspring_package is not used, because it would name the library acaciaspring_load, which is
# the name of the program.
file(GLOB load_sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/src/load/*.cc)
file(GLOB load_tests CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/src/load/*_test.cc)
list(REMOVE_ITEM load_sources ${load_tests})
add_library(acaciaspring_load_tool STATIC ${load_sources})
target_link_libraries(acaciaspring_load_tool PUBLIC acaciaspring_answer acaciaspring_net PkgConfig::GLOG
  Boost::program_options)
acaciaspring_program(acaciaspring_load SOURCES src/main/load.cc DEPENDS acaciaspring_load_tool)

add_executable(load_test ${load_tests} $<TARGET_OBJECTS:test_main>)
target_link_libraries(load_test PRIVATE acaciaspring_load_tool acaciaspring_fake_service Boost::unit_test_framework)
add_test(NAME load COMMAND load_test --log_level=test_suite)

# The soak test of the gateway. As with the load tool, acaciaspring_soak is the name of the program.
file(GLOB soak_sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/platform/soak/*.cc)
add_library(acaciaspring_soak_tool STATIC ${soak_sources})
target_link_libraries(acaciaspring_soak_tool PUBLIC acaciaspring_fake_service acaciaspring_net PkgConfig::JSONCPP)
acaciaspring_program(acaciaspring_soak SOURCES src/main/soak.cc DEPENDS acaciaspring_soak_tool PkgConfig::GLOG)
