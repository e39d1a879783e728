package io.persimmonreel.cli;

import io.persimmonreel.core.config.Configuration;
import io.persimmonreel.core.config.ConfigurationException;
import io.persimmonreel.core.config.OperatorTextParser;
import io.persimmonreel.fakes.FakePlatform;
import io.persimmonreel.fakes.FakeUpstreams;
import io.persimmonreel.fakes.HostEntry;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Implements the subcommand that runs fake upstreams of an operator text and a fake platform. */
final class FakesCommand implements Command {
    private static final int MAXIMUM_PORT = 65_535;
    private static final int MAXIMUM_SECONDS = 86_400;

    @Override
    public String name() {
        return "fakes";
    }

    @Override
    public String summary() {
        return "Run fake upstreams for an operator text, and a fake platform.";
    }

    @Override
    public void declare(final FlagDeclarations flags) {
        flags.positional("file", "the operator text")
                .value("platform-host", "127.0.0.1", "IP address of the fake platform")
                .value("platform-port", "9300", "port of the fake platform, 0 for any free one")
                .value("hosts", "", "daemons in the host list, comma-separated SLOT=IP:PORT@ZONE")
                .toggle("free-ports", "use free ports instead of the configured ones")
                .value("seconds", "0", "seconds to run; 0 runs until the process is stopped");
    }

    @Override
    public int run(final FlagValues flags, final PrintStream out, final PrintStream err)
            throws BadInputException, IOException, InterruptedException {
        final String file = flags.text("file");
        final String text = Files.readString(Path.of(file));
        final Configuration configuration;
        try {
            configuration = new OperatorTextParser().parse(file, 1, text);
        } catch (final ConfigurationException e) {
            throw new BadInputException(e.getMessage());
        }
        final int seconds = flags.integer("seconds", 0, MAXIMUM_SECONDS);
        final List<HostEntry> hosts = hosts(flags);
        try (FakeUpstreams upstreams =
                        flags.isSet("free-ports")
                                ? FakeUpstreams.onFreePorts(configuration)
                                : FakeUpstreams.onConfiguredPorts(configuration);
                FakePlatform platform =
                        new FakePlatform(
                                flags.text("platform-host"),
                                flags.integer("platform-port", 0, MAXIMUM_PORT))) {
            upstreams.start();
            platform.publish(upstreams.replaceAddresses(text));
            platform.publishHosts(hosts);
            platform.start();
            upstreams.engines().forEach((id, e) -> out.println("fakes: " + id + " " + e.address()));
            upstreams
                    .plainServices()
                    .forEach((id, s) -> out.println("fakes: " + id + " " + s.address()));
            out.println("fakes: platform " + platform.address());
            out.println("fakes: ready");
            waitFor(seconds);
        }
        return OK;
    }

    private static void waitFor(final int seconds) throws InterruptedException {
        if (seconds > 0) {
            TimeUnit.SECONDS.sleep(seconds);
        } else {
            Thread.currentThread().join();
        }
    }

    private static List<HostEntry> hosts(final FlagValues flags) throws BadInputException {
        final List<HostEntry> hosts = new ArrayList<>();
        for (final String element : flags.list("hosts")) {
            if (!element.matches("\\d{1,6}=[0-9.]+:\\d{1,5}@[A-Za-z0-9_-]+")) {
                throw new BadInputException("--hosts: '" + element + "' is not SLOT=IP:PORT@ZONE");
            }
            final String[] fields = element.split("[=@]");
            hosts.add(new HostEntry(Integer.parseInt(fields[0]), fields[1], fields[2], "live"));
        }
        return hosts;
    }
}
